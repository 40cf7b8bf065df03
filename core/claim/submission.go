package claim

import "strings"

// Prefixes of submission names: keyed ones are shared by all entries.
const (
	keyedPrefix   = "c/"
	unkeyedPrefix = "u/"
)

// Keyed returns the name of a team's submission with a caller's key.
func Keyed(team, key string) string { return TeamPrefix(team) + key }

// TeamPrefix returns the prefix of the names of a team's keyed submissions.
func TeamPrefix(team string) string { return keyedPrefix + team + "/" }

// Unkeyed returns the name of a submission without a key, unique by its serial.
func Unkeyed(entry, serial string) string { return unkeyedPrefix + entry + "/" + serial }

// TeamOf returns the team and key of a keyed submission.
func TeamOf(submission string) (team, key string) {
	rest := strings.TrimPrefix(submission, keyedPrefix)
	team, key, _ = strings.Cut(rest, "/")
	return team, key
}
