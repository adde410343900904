/**
 * Counts the results of a test run and compares its failures with the list of
 * known ones. Ends with the true counts; fails on any other failure.
 *
 *     node scripts/countTests.mjs REPORT KNOWN-RED.txt TEST-STATUS FAILED-STEPS
 */
import {existsSync, readFileSync} from 'node:fs';

const [reportFile, knownFile, testStatus, failedSteps] = process.argv.slice(2);
const RESULT = /^(ok|not ok) \d+ - (.*)$/;
const DIRECTIVE = / # (SKIP|TODO).*$/i;

function readKnown() {
  if (!existsSync(knownFile)) return [];
  return readFileSync(knownFile, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

const results = readFileSync(reportFile, 'utf8')
  .split('\n')
  .map((line) => RESULT.exec(line))
  .filter((match) => match !== null)
  .map(([, verdict, title]) => ({
    title: title.replace(DIRECTIVE, ''),
    passed: verdict === 'ok',
  }));
const known = readKnown();
const passed = results.filter((result) => result.passed);
const notPassed = results.filter((result) => !result.passed);
const unexpected = notPassed.filter(({title}) => !known.includes(title));
const absent = known.filter(
  (title) => !results.some((result) => result.title === title),
);
for (const {title} of unexpected) console.log(`FAILED: ${title}`);
for (const title of absent) {
  console.log(`FAILED: KNOWN-RED.txt lists a test that is not there: ${title}`);
}
for (const {title} of notPassed) {
  if (known.includes(title)) console.log(`listed as red and failed: ${title}`);
}
for (const {title} of passed) {
  if (known.includes(title)) console.log(`listed as red and passed: ${title}`);
}
if (known.length > 0) {
  console.log('== known red, passed over');
  console.log(readFileSync(knownFile, 'utf8').trimEnd());
}
// A runner that died, or ran nothing, has not passed.
const isBroken =
  passed.length === 0 || (testStatus !== '0' && notPassed.length === 0);
if (isBroken) console.log('FAILED: the test run did not come to its end');
const steps = Number(failedSteps) + (isBroken ? 1 : 0);
console.log(`${passed.length} passed, ${notPassed.length + steps} failed`);
process.exit(unexpected.length + absent.length + steps === 0 ? 0 : 1);
