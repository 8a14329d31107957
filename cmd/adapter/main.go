// Command adapter runs dispatchers for a test bench. It speaks the protocol of package wire on standard input and output.
package main

import (
	"fmt"
	"os"

	"foldlb.example/foldlb/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
