//go:build !altered

// Package altered lets a build be made that breaks a promise on purpose, to show that the lab's judge finds it:
// `go build -tags altered`, and FOLDLB_ALTERED naming what is to be broken. In every other build nothing is.
package altered

// Is tells whether a promise is to be broken.
func Is(string) bool { return false }
