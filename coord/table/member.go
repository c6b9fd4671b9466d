// Package table implements the ownership table of the mode with hashed shards
// (package control): which member owns which unit, at which epoch, and which
// members keep copies of its idempotency records.
package table

// MemberID identifies a member: the sidecar process of one target, under the
// name in its settings.
type MemberID string
