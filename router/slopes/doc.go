// Package slopes measures slopes: the cost of operations of the control plane per
// member, connection, payment or change, at growing sizes of the cluster. Its
// benchmarks give the figures of docs/CAPACITY.md, and its test compares that page
// with the code.
package slopes
