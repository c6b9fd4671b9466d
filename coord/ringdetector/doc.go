// Package ringdetector detects failures with a ring of members, after the STAR paper
// (Sens, Folliot): each member checks only its successor. If the successor fails,
// the member notifies all others and checks the next member in the ring.
//
// The servers use leases instead (package lease). This package exists only to
// compare the two.
package ringdetector
