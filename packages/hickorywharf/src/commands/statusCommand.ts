import {fetchOperatorsState} from 'hickorywharf-operators/fetchOperatorsState';
import type {OperatorsState} from 'hickorywharf-operators/operatorsState';
import {fetchInstances} from 'hickorywharf-platform/fetchInstances';
import type {Command} from '../command.ts';
import {exitCodes} from '../exitCodes.ts';
import {createStatus} from '../operators/createStatus.ts';

type Values = Readonly<Record<string, unknown>>;

const NAME_WIDTH = 24;
const SEQUENCE_WIDTH = 10;

async function listUrls(values: Values): Promise<string[] | null> {
  const urls = (values['operators'] as string[] | undefined) ?? [];
  const list = values['instances'] as string | undefined;
  if (list === undefined) return urls;
  const listed = await fetchInstances(list);
  if (listed.isErr()) {
    console.error(`hickorywharf: ${list}: ${listed.error.message}`);
    return null;
  }
  const port = values['operators-port'] as string;
  return [
    ...urls,
    ...listed.value.map(({address}) => `http://${address}:${port}`),
  ];
}

function printState({
  process,
  configuration,
  membership,
  queue,
}: OperatorsState): void {
  const parts = [
    `${process.role} ${process.name} (${process.failureDomain})`,
    `sequence ${configuration.sequence}`,
    `${configuration.peers.length} peers`,
    `${queue.running} running, ${queue.queued} queued`,
  ];
  if (configuration.isWatcher) parts.push('watcher');
  if (membership.leaving) parts.push('leaving');
  console.log(parts.join(', '));
  const {members, silentDomains, mayBeOwnLink} = membership.observed;
  for (const {name, failureDomain, state} of members) {
    if (state !== 'live') console.log(`  ${name} (${failureDomain}): ${state}`);
  }
  for (const domain of silentDomains) {
    const hint = mayBeOwnLink ? ', or this process is disconnected' : '';
    console.log(`  no process in ${domain} is responding${hint}`);
  }
  for (const record of configuration.unreadable) {
    console.log(
      `  cannot read ${record}: invalid, or of a newer schemaVersion`,
    );
  }
}

function printText(states: readonly OperatorsState[]): void {
  states.forEach(printState);
  const {newest, rows} = createStatus(states);
  console.log(
    `${'\nprocess'.padEnd(NAME_WIDTH)} ${'sequence'.padEnd(SEQUENCE_WIDTH)} lag`,
  );
  for (const {name, sequence, lag, seenBy} of rows) {
    const from = seenBy === null ? '' : ` (reported by ${seenBy})`;
    console.log(
      `${name.padEnd(NAME_WIDTH - 1)} ${String(sequence).padEnd(SEQUENCE_WIDTH)} ${lag}${from}`,
    );
  }
  const lagging = rows.filter(({lag}) => lag > 0).length;
  console.log(`\nnewest ${newest}; ${lagging} of ${rows.length} lag`);
}

/** `hickorywharf status`: shows the active sequence of each instance. */
export const statusCommand: Command = {
  summary: 'shows the configuration in force at each instance, and who lags',
  positionals: [],
  options: {
    operators: {type: 'string', multiple: true},
    instances: {type: 'string'},
    'operators-port': {type: 'string', default: '7300'},
    output: {type: 'string', default: 'text'},
  },
  optionHelp: {
    operators:
      "an instance's address for operators, http://IP:PORT; may be repeated. An entry tells of every process that it is connected with",
    instances: "address of the platform's list of instances, to ask them all",
    'operators-port': 'port for operators on listed instances (default 7300)',
    output: 'text (default) or json',
  },
  async run({values}) {
    const urls = await listUrls(values);
    if (urls === null) return exitCodes.failed;
    if (urls.length === 0) {
      console.error('hickorywharf: give --operators or --instances');
      return exitCodes.usage;
    }
    const responses = await Promise.all(urls.map(fetchOperatorsState));
    const states: OperatorsState[] = [];
    for (const response of responses) {
      if (response.isOk()) states.push(response.value);
      else {
        const {peer, message} = response.error;
        console.error(
          `hickorywharf: cannot fetch the state of ${peer}: ${message}`,
        );
      }
    }
    if (values['output'] === 'json') {
      console.log(JSON.stringify({...createStatus(states), states}));
    } else printText(states);
    return states.length === urls.length
      ? exitCodes.succeeded
      : exitCodes.failed;
  },
};
