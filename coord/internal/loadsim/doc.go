// Package loadsim measures admission, choice and retry in virtual time. Its
// test files hold stand-in targets, gates and callers around the real decision
// code; docs/measurements.md lists the results.
package loadsim
