package document

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/galenalever/galenalever/internal/findings"
)

// maxDepth bounds the nesting of flow collections and of list markers on one
// line. It protects the recursive parser from maliciously deep documents.
const maxDepth = 16

// maxKeys bounds the keys of all mappings of a document. The parser's time
// grows with the square of the keys of one block mapping.
const maxKeys = 10_000

// parse returns the body of the text, which must contain exactly one YAML document. It
// returns false and adds findings if the text is invalid.
func (r *reader) parse(text []byte) (value, bool) {
	if len(text) > MaxBytes {
		r.addf(value{}, "document has %d bytes, more than the limit of %d", len(text), MaxBytes)
		return value{}, false
	}
	file, err := r.parseSyntax(text)
	if err != nil {
		r.addSyntaxError(err)
	}
	if len(r.list) > 0 || file == nil {
		return value{}, false
	}
	body, ok := r.singleBody(file)
	return value{node: body}, ok
}

// singleBody returns the body of the only YAML document that is not empty.
func (r *reader) singleBody(file *ast.File) (ast.Node, bool) {
	var bodies []ast.Node
	for _, document := range file.Docs {
		if document != nil && document.Body != nil {
			bodies = append(bodies, document.Body)
		}
	}
	switch len(bodies) {
	case 0:
		r.addf(value{}, "document is empty")
		return nil, false
	case 1:
		return bodies[0], true
	default:
		r.addf(value{node: bodies[1]}, "a second YAML document begins; only one is allowed")
		return nil, false
	}
}

// parseSyntax parses text. Unsupported features are findings. A panic of the YAML
// library is returned as an error, because a published document must not crash the
// process.
func (r *reader) parseSyntax(text []byte) (file *ast.File, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			file, err = nil, errNotYAML
		}
	}()
	tokens := lexer.Tokenize(string(text))
	r.checkTokens(tokens)
	if len(r.list) > 0 {
		return nil, nil
	}
	return parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
}

var errNotYAML = errors.New("document is not valid YAML")

// addSyntaxError adds an error of the YAML library as a finding, with its location if
// it is known.
func (r *reader) addSyntaxError(err error) {
	var syntax *yaml.SyntaxError
	if !errors.As(err, &syntax) || syntax.Token == nil || syntax.Token.Position == nil {
		r.addf(value{}, "%s", shorten(err.Error()))
		return
	}
	r.list.Addf(r.tokenLocation(syntax.Token), "%s", shorten(syntax.Message))
}

func (r *reader) tokenLocation(t *token.Token) findings.Location {
	location := findings.Location{Source: r.source}
	if t.Position != nil {
		location.Line, location.Column = t.Position.Line, t.Position.Column
	}
	return location
}

// unsupportedFeatures maps tokens to the YAML features that documents must not
// use.
var unsupportedFeatures = map[token.Type]string{
	token.AnchorType:     "anchors (&)",
	token.AliasType:      "aliases (*)",
	token.TagType:        "tags (!)",
	token.MergeKeyType:   "merge keys (<<)",
	token.MappingKeyType: "explicit keys (?)",
	token.DirectiveType:  "directives (%)",
}

// tokenCounts counts keys and nesting over the tokens of a document.
type tokenCounts struct {
	keys  int
	depth int
	// markers is the number of list markers on the current line.
	markers, line int
}

// checkTokens reports unsupported features, and documents that would take the
// parser too long or nest too deeply for it. It must run before the parser.
func (r *reader) checkTokens(tokens token.Tokens) {
	var counts tokenCounts
	for _, t := range tokens {
		if feature, ok := unsupportedFeatures[t.Type]; ok {
			r.list.Addf(r.tokenLocation(t), "%s are not supported; put text that needs the character in quotes", feature)
		}
		if exceeded := counts.count(t); exceeded != "" {
			r.list.Addf(r.tokenLocation(t), "%s", exceeded)
			return
		}
	}
}

// count adds a token and returns a message if a limit is exceeded, or "".
func (c *tokenCounts) count(t *token.Token) string {
	if t.Position != nil && t.Position.Line != c.line {
		c.line, c.markers = t.Position.Line, 0
	}
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		c.depth++
	case token.MappingEndType, token.SequenceEndType:
		c.depth--
	case token.SequenceEntryType:
		c.markers++
	case token.MappingValueType:
		c.keys++
	}
	switch {
	case c.keys > maxKeys:
		return fmt.Sprintf("document has more than %d keys", maxKeys)
	case c.depth > maxDepth || c.markers > maxDepth:
		return fmt.Sprintf("nesting is deeper than %d", maxDepth)
	default:
		return ""
	}
}
