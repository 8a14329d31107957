//go:build !race

package storenode

const raceEnabled = false
