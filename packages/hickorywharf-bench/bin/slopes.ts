import {measureCoreSlopes} from '../src/slopes/measureCoreSlopes.ts';

for (const slope of measureCoreSlopes()) console.log(JSON.stringify(slope));
