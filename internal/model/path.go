package model

import (
	"strings"

	"github.com/rotisserie/eris"
)

// CheckPathPrefix returns an error if a path prefix does not begin and end with a slash.
func CheckPathPrefix(prefix string) error {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return eris.Errorf("path prefix %q does not begin with /", prefix)
	case !strings.HasSuffix(prefix, "/"):
		return eris.Errorf("path prefix %q does not end with /", prefix)
	}
	return nil
}
