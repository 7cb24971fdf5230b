package model

import "strings"

// Declarations is the typed content of one subtree. The root has grants only,
// a team's subtree services, routes and commands, that of an evacuation the evacuation.
type Declarations struct {
	Services []*Service
	Routes   []*Route
	Grants   []*Grant
	Commands []*Command

	Evacuations []*Evacuation
}

// teamKeyPrefix is what the keys of all team documents start with.
const teamKeyPrefix = "teams/"

// Team returns the team whose document has the key, and whether the key is one
// of a team's document.
func (k Key) Team() (TeamName, bool) {
	name, ok := strings.CutPrefix(string(k), teamKeyPrefix)
	return TeamName(name), ok && name != ""
}
