// Package ringdetector detects failures with a ring of members, after the STAR paper
// (Sens, Folliot): each member checks only its successor. On failure it
// connects to the next valid successor and broadcasts the new ring.
//
// The project uses leases. This package exists to compare the two.
package ringdetector
