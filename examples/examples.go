// Package examples embeds the settings trees of two example deployments, for the
// demo and the tests.
package examples

import "embed"

// Files holds the folders java and egypt. Each has root.yaml, one file for each
// team in teams, and runbooks.
//
//go:embed java egypt
var Files embed.FS
