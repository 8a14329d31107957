package operator

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// keyPositions returns a function that maps a key such as "upgrade.probation" to its position, as file:line.
func keyPositions(body hcl.Body) func(key string) string {
	b, ok := body.(*hclsyntax.Body)
	if !ok {
		return func(string) string { return "operator file" }
	}
	return func(key string) string {
		return position(keyRange(b, key))
	}
}

func position(r hcl.Range) string { return fmt.Sprintf("%s:%d", r.Filename, r.Start.Line) }

// keyRange returns the position of a key in a block: of the attribute, or of the innermost block that exists.
func keyRange(b *hclsyntax.Body, key string) hcl.Range {
	name, rest, deeper := strings.Cut(key, ".")
	if a := b.Attributes[name]; a != nil && !deeper {
		return a.SrcRange
	}
	for _, block := range b.Blocks {
		if block.Type == name {
			if deeper {
				return keyRange(block.Body, rest)
			}
			return block.TypeRange
		}
	}
	return b.SrcRange
}
