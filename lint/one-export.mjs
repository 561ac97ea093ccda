/** Reports every exported name of a module after the first one. */
export const oneExport = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { many: 'Export one name per file; move "{{name}}" to a file of its own.' },
  },
  create(context) {
    const names = new Set();
    const report = (node, name) => {
      // A constant object and the type of its values share one name.
      names.add(name);
      if (names.size > 1) context.report({ node, messageId: 'many', data: { name } });
    };
    return {
      ExportNamedDeclaration(node) {
        if (node.declaration?.declarations) {
          for (const declarator of node.declaration.declarations)
            report(declarator, declarator.id.name ?? 'pattern');
          return;
        }
        if (node.declaration) report(node, node.declaration.id?.name ?? 'declaration');
        for (const specifier of node.specifiers) report(specifier, specifier.exported.name);
      },
      ExportDefaultDeclaration(node) {
        report(node, 'default');
      },
      ExportAllDeclaration(node) {
        context.report({ node, messageId: 'many', data: { name: '*' } });
      },
    };
  },
};
