package claim

import "strings"

// Prefixes of submission names. All entries share the names of keyed submissions; an unkeyed
// submission belongs to the entry in its name.
const (
	keyedPrefix   = "c/"
	unkeyedPrefix = "u/"
)

// KeyedName returns the name of the submission that a team made under a caller's key. The name
// identifies the claim.
func KeyedName(team, key string) string { return TeamPrefix(team) + key }

// TeamPrefix returns the prefix of the names of a team's keyed submissions.
func TeamPrefix(team string) string { return keyedPrefix + team + "/" }

// UnkeyedName returns the name of a submission without a key. The serial makes it unique within the
// entry.
func UnkeyedName(entry, serial string) string { return unkeyedPrefix + entry + "/" + serial }

// SplitKeyed splits the name of a keyed submission into team and key.
func SplitKeyed(submission string) (team, key string) {
	rest := strings.TrimPrefix(submission, keyedPrefix)
	team, key, _ = strings.Cut(rest, "/")
	return team, key
}
