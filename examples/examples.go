// Package examples embeds the settings trees of the two deployments in the
// brief, for the demo and the tests.
package examples

import "embed"

// Files holds the folders java and egypt, each with root.yaml and one file for
// each team in teams.
//
//go:embed java egypt
var Files embed.FS
