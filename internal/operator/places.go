package operator

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// places tells for a key such as "upgrade.probation" in which file and line it stands.
func places(body hcl.Body) func(key string) string {
	b, ok := body.(*hclsyntax.Body)
	if !ok {
		return func(string) string { return "operator file" }
	}
	return func(key string) string {
		return at(find(b, key))
	}
}

func at(r hcl.Range) string { return fmt.Sprintf("%s:%d", r.Filename, r.Start.Line) }

func find(b *hclsyntax.Body, key string) hcl.Range {
	name, rest, deeper := strings.Cut(key, ".")
	if a := b.Attributes[name]; a != nil && !deeper {
		return a.SrcRange
	}
	for _, block := range b.Blocks {
		if block.Type == name {
			if deeper {
				return find(block.Body, rest)
			}
			return block.TypeRange
		}
	}
	return b.SrcRange
}
