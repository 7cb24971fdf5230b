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
// line. It protects the recursive parser from hostile documents.
const maxDepth = 16

// maxKeys bounds the keys of all mappings of a document. The parser's time
// grows with the square of the keys of one block mapping.
const maxKeys = 10_000

// parse returns the body of the only YAML document in text.
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
	body, ok := r.onlyBody(file)
	return value{node: body}, ok
}

func (r *reader) onlyBody(file *ast.File) (ast.Node, bool) {
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

// parseSyntax parses text. A panic of the YAML library is reported as an error,
// since a published document must not end the process.
func (r *reader) parseSyntax(text []byte) (file *ast.File, err error) {
	defer func() {
		if fault := recover(); fault != nil {
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

var errNotYAML = errors.New("document is not YAML")

func (r *reader) addSyntaxError(err error) {
	var syntax *yaml.SyntaxError
	if !errors.As(err, &syntax) || syntax.Token == nil || syntax.Token.Position == nil {
		r.addf(value{}, "%s", shorten(err.Error()))
		return
	}
	r.list.Addf(r.tokenPlace(syntax.Token), "%s", shorten(syntax.Message))
}

func (r *reader) tokenPlace(t *token.Token) findings.Location {
	place := findings.Location{Source: r.source}
	if t.Position != nil {
		place.Line, place.Column = t.Position.Line, t.Position.Column
	}
	return place
}

// unsupported names the YAML features that documents must not use.
var unsupported = map[token.Type]string{
	token.AnchorType:     "anchors (&)",
	token.AliasType:      "aliases (*)",
	token.TagType:        "tags (!)",
	token.MergeKeyType:   "merge keys (<<)",
	token.MappingKeyType: "explicit keys (?)",
	token.DirectiveType:  "directives (%)",
}

// tokenLimits follows the size of a document along its tokens.
type tokenLimits struct {
	keys  int
	depth int
	// markers counts the list markers of the current line.
	markers, line int
}

// checkTokens reports unsupported features and documents that would take the
// parser too long or too deep, before it sees them.
func (r *reader) checkTokens(tokens token.Tokens) {
	var limits tokenLimits
	for _, t := range tokens {
		if feature, ok := unsupported[t.Type]; ok {
			r.list.Addf(r.tokenPlace(t), "%s are not supported; put text that needs the character in quotes", feature)
		}
		if fault := limits.add(t); fault != "" {
			r.list.Addf(r.tokenPlace(t), "%s", fault)
			return
		}
	}
}

// add counts a token and returns the limit that it exceeds, if any.
func (l *tokenLimits) add(t *token.Token) string {
	if t.Position != nil && t.Position.Line != l.line {
		l.line, l.markers = t.Position.Line, 0
	}
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		l.depth++
	case token.MappingEndType, token.SequenceEndType:
		l.depth--
	case token.SequenceEntryType:
		l.markers++
	case token.MappingValueType:
		l.keys++
	}
	switch {
	case l.keys > maxKeys:
		return fmt.Sprintf("document has more than %d keys", maxKeys)
	case l.depth > maxDepth || l.markers > maxDepth:
		return fmt.Sprintf("nesting is deeper than %d", maxDepth)
	default:
		return ""
	}
}
