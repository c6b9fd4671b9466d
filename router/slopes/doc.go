// Package slopes measures the cost per unit of the control plane. Its
// benchmarks give the figures of docs/CAPACITY.md, and its test holds that
// page against the code.
package slopes
