package document

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/galenalever/galenalever/internal/model"
)

// root reads the root document: the hosts and path prefixes granted to each team.
func (r *reader) root(body value) []*model.Grant {
	var grants []*model.Grant
	present := r.mapping(body, fields{
		"teams": func(v value) {
			r.namedEntries(v, func(name string, v value) {
				grants = append(grants, r.grant(model.TeamName(name), v))
			})
		},
	})
	if _, ok := present["teams"]; !ok && len(r.list) == 0 {
		r.addf(body, "teams is missing")
	}
	return grants
}

// grant returns a grant for all paths if v lists none.
func (r *reader) grant(team model.TeamName, v value) *model.Grant {
	grant := &model.Grant{Team: team, PathPrefixes: []string{DefaultPath}}
	present := r.mapping(v, fields{
		"hosts": func(v value) {
			grant.Hosts = r.hosts(v)
			r.requireItems(v, "at least one host is needed")
		},
		"paths": func(v value) {
			grant.PathPrefixes = r.paths(v)
			r.requireItems(v, "at least one path is needed; omit the field to grant all paths")
		},
	})
	if _, ok := present["hosts"]; !ok {
		r.addf(v, "hosts is missing")
	}
	return grant
}

// requireItems reports the message if the value is an empty list.
func (r *reader) requireItems(v value, message string) {
	if list, ok := v.node.(*ast.SequenceNode); ok && len(list.Values) == 0 {
		r.addf(v, "%s", message)
	}
}

// hosts reads a list of host names and returns it sorted.
func (r *reader) hosts(v value) []string {
	hosts := r.texts(v, r.checkHost)
	slices.Sort(hosts)
	return hosts
}

// checkHost reports an invalid host name and returns whether it is valid.
func (r *reader) checkHost(v value, host string) bool {
	if isHost(host) {
		return true
	}
	r.addf(v, "%s is not a lower-case host name without port", quote(host))
	return false
}

// maxHostLength is the largest length of a host name in bytes, as in DNS.
const maxHostLength = 253

// isHost reports whether the text is a lower-case DNS name.
func isHost(host string) bool {
	if len(host) > maxHostLength {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if !isName(label) {
			return false
		}
	}
	return true
}

// paths reads a list of path prefixes and returns it sorted.
func (r *reader) paths(v value) []string {
	paths := r.texts(v, r.checkPath)
	slices.Sort(paths)
	return paths
}

// maxPathLength is the largest length of a path prefix in bytes.
const maxPathLength = 1024

// checkPath reports an invalid path prefix and returns whether it is valid. Routes
// match the path of a URL as the caller sent it, without its query and fragment.
func (r *reader) checkPath(v value, path string) bool {
	switch {
	case !strings.HasPrefix(path, "/"):
		r.addf(v, "%s does not start with /", quote(path))
	case len(path) > maxPathLength:
		r.addf(v, "path is longer than %d bytes", maxPathLength)
	case !strings.HasSuffix(path, "/"):
		r.addf(v, "%s does not end with /; a prefix matches the paths that begin with it, such as %s", quote(path), quote(path+"/"))
	case strings.Contains(path, "//") || strings.ContainsAny(path, "?#% \t\r\n\\"):
		r.addf(v, "%s has an empty segment or a character that is not allowed in a path prefix", quote(path))
	case slices.ContainsFunc(strings.Split(path, "/"), func(s string) bool { return s == "." || s == ".." }):
		r.addf(v, "%s has a segment that is . or ..", quote(path))
	default:
		return true
	}
	return false
}
