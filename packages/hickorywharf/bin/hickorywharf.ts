import {runProgram} from '../src/runProgram.ts';

void runProgram(process.argv.slice(2)).then((exitCode) => {
  process.exitCode = exitCode;
});
