// Package table holds the ownership table: which member owns which unit, at
// which epoch, and where the copies of its records are.
package table

// MemberID names a registered process beside a target, as in its settings.
type MemberID string
