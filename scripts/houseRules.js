import path from 'node:path';

/**
 * House rules that a linter can check: one export a file, a file named after
 * its export, and whole words in names for the common abbreviations.
 */
const ABBREVIATIONS = {
  req: 'request',
  res: 'response',
  cfg: 'configuration',
  conf: 'configuration',
  msg: 'message',
  idx: 'index',
  cnt: 'count',
  ctx: 'context',
  buf: 'buffer',
  len: 'length',
  addr: 'address',
  conn: 'connection',
  cb: 'callback',
  err: 'error',
  evt: 'event',
  val: 'value',
  tmp: 'temporary',
  num: 'number',
  str: 'text',
  obj: 'object',
  arr: 'list',
  fn: 'function',
  args: 'arguments',
  params: 'parameters',
  opts: 'options',
  env: 'environment',
  prev: 'previous',
  curr: 'current',
  ms: 'milliseconds',
  sec: 'seconds',
  ts: 'timestamp',
  dir: 'directory',
};

const oneExport = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    let exported = 0;
    return {
      ExportNamedDeclaration(node) {
        exported += node.declaration ? 1 : node.specifiers.length;
        if (exported > 1) {
          context.report({node, message: 'A file has one export.'});
        }
      },
    };
  },
};

/** `TRANSPORT_LIMITS` and `TransportLimits` both stand in transportLimits. */
function toFileName(name) {
  const words = /^[A-Z0-9_]+$/.test(name)
    ? name
        .toLowerCase()
        .replaceAll(/_([a-z0-9])/g, (_match, letter) => letter.toUpperCase())
    : name;
  return words.charAt(0).toLowerCase() + words.slice(1);
}

const fileName = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    const file = path.basename(context.filename, '.ts');
    return {
      ExportNamedDeclaration(node) {
        const declared =
          node.declaration?.declarations?.[0] ?? node.declaration;
        const name = declared?.id?.name;
        if (name === undefined || toFileName(name) === file) return;
        const message = `'${name}' belongs in '${toFileName(name)}.ts'.`;
        context.report({node, message});
      },
    };
  },
};

const wholeWords = {
  meta: {type: 'suggestion', schema: []},
  create(context) {
    const checkName = (node, name) => {
      const words = name.split(/(?=[A-Z])|_/).map((word) => word.toLowerCase());
      for (const word of words) {
        if (Object.hasOwn(ABBREVIATIONS, word)) {
          const whole = ABBREVIATIONS[word];
          context.report({node, message: `Write '${whole}' for '${word}'.`});
        }
      }
    };
    const checkPattern = (node) => {
      if (node?.type === 'Identifier') checkName(node, node.name);
    };
    return {
      VariableDeclarator: (node) => checkPattern(node.id),
      FunctionDeclaration: (node) => {
        checkPattern(node.id);
        node.params.forEach(checkPattern);
      },
      ArrowFunctionExpression: (node) => node.params.forEach(checkPattern),
      TSPropertySignature: (node) => checkPattern(node.key),
      TSTypeAliasDeclaration: (node) => checkPattern(node.id),
      TSInterfaceDeclaration: (node) => checkPattern(node.id),
    };
  },
};

export const houseRules = {
  rules: {
    'one-export': oneExport,
    'file-name': fileName,
    'whole-words': wholeWords,
  },
};
