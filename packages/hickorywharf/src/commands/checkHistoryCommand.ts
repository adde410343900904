import {checkHistory} from 'hickorywharf-bench/checkHistory';
import {loadHistory} from 'hickorywharf-bench/loadHistory';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';

/**
 * `hickorywharf check-history FILE`: verifies that a recorded history keeps the
 * guarantees to callers.
 */
export const checkHistoryCommand: Command = {
  summary: 'verifies the promises on a recorded history',
  positionals: ['FILE'],
  options: {},
  optionHelp: {},
  async run({positionals}) {
    const loaded = loadHistory(positionals[0]!);
    if (loaded.isErr()) {
      const {file, line, message} = loaded.error;
      const location = line === 0 ? file : `${file}:${line}`;
      console.error(`hickorywharf: ${location}: ${message}`);
      return exitCodes.failed;
    }
    const breaches = checkHistory(loaded.value);
    for (const {promise, detail, events} of breaches) {
      console.log(`BROKEN ${promise}: ${detail}`);
      for (const event of events) console.log(`  ${JSON.stringify(event)}`);
    }
    console.log(`${loaded.value.length} events, ${breaches.length} breaches`);
    return breaches.length === 0 ? exitCodes.succeeded : exitCodes.failed;
  },
};
