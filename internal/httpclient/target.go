package httpclient

import (
	"net/url"
	"strings"
)

// KeepTarget makes a client send the path and query of a parsed request target as they were
// received. Without it, [url.URL] encodes characters that must not stand in a path. A path
// that begins with two slashes is left to url.URL, which would take Opaque for a host.
func KeepTarget(u *url.URL) {
	if u.RawPath != "" && u.RawPath != u.EscapedPath() && !strings.HasPrefix(u.RawPath, "//") {
		u.Opaque = u.RawPath
	}
}
