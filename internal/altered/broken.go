//go:build altered

package altered

import "os"

var what = os.Getenv("FOLDLB_ALTERED")

// Is tells whether a promise is to be broken.
func Is(promise string) bool { return what == promise }
