// Package localrun plays the whole service on loopback for newcomers and for CI: real control, store and
// dispatcher processes, a stand-in platform and stand-in workers. It sends traffic, kills a store and a
// dispatcher in the middle, and accounts for every message at the end.
package localrun
