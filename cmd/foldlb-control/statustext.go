package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"foldlb.example/foldlb/internal/controlplane"
)

const columnGap = 2

// printLeadership tells who leads, and who votes.
func printLeadership(out io.Writer, status *controlplane.Status) {
	switch {
	case status.Leader:
		fmt.Fprintf(out, "leader %s, epoch %d\n", status.Address, status.Epoch)
	case status.LeaderAddress != "":
		fmt.Fprintf(out, "the leader %s did not answer; %s knows epoch %d\n", status.LeaderAddress, status.Address, status.Epoch)
	default:
		fmt.Fprintf(out, "no leader is known to %s (epoch %d): more than half of the voters must run and reach one another\n",
			status.Address, status.Epoch)
	}
	fmt.Fprintf(out, "voters %s\n", strings.Join(status.Voters, " "))
	if status.VotersChanging {
		fmt.Fprintln(out, "voters are being exchanged: take no other control process away until this is over")
	}
	if len(status.Voters) < status.VotersWanted {
		fmt.Fprintf(out, "%d voters, but %d are needed to bear the loss of %d at one time: run the control role on more machines with a disk\n",
			len(status.Voters), status.VotersWanted, status.FaultTolerance)
	}
	fmt.Fprintf(out, "map version %d, %d update streams at this process\n", status.MapVersion, status.Streams)
}

// printNodes prints a line for each store and dispatcher. Leases and lag are known to the leader alone.
func printNodes(out io.Writer, status *controlplane.Status) {
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "NODE\tZONE\tLEASE\tRENEWED\tSTATE\tOWNS\tQUEUED\tTO COPY\tMAP\tCONFIG\tWORKERS")
	stores := slices.Clone(status.Stores)
	slices.SortFunc(stores, func(a, b controlplane.StoreStatus) int { return cmp.Compare(a.Node, b.Node) })
	for _, store := range stores {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			store.Node, store.Zone, leaseWord(store.Lease), ageWord(store.AgeMs), storeWord(store, status),
			status.Partitions[store.Node], store.Backlog, store.UnderCopied, store.MapVersion, store.ConfigVersion, store.ListVersion)
	}
	for _, dispatcher := range status.Dispatchers {
		fmt.Fprintf(table, "%s\t%s\t-\t%s\tdispatcher\t-\t-\t-\t%d\t%d\t%d\n",
			dispatcher.Node, dispatcher.Zone, ageWord(dispatcher.AgeMs), dispatcher.MapVersion, dispatcher.ConfigVersion,
			dispatcher.ListVersion)
	}
}

func leaseWord(held bool) string {
	if held {
		return "held"
	}
	return "none"
}

func ageWord(milliseconds int64) string {
	if milliseconds < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", milliseconds)
}

// storeWord says how far a store takes part.
func storeWord(store controlplane.StoreStatus, status *controlplane.Status) string {
	retirement := status.Retirements[store.Node]
	switch {
	case retirement != "":
		return "retirement " + retirement
	case store.Leaving && store.Address == "":
		return "given up"
	case store.Leaving:
		return "leaving"
	case store.Impaired:
		return "disk impaired"
	case !store.Whole:
		return "not whole"
	default:
		return "whole"
	}
}

// printPartitions tells who owns how many partitions, under which epochs, and what is on the move.
func printPartitions(out io.Writer, status *controlplane.Status) {
	fmt.Fprintf(out, "\n%d partitions\n", len(status.Ownerships))
	epochs := map[string]uint64{}
	var moving []string
	for _, ownership := range status.Ownerships {
		epochs[ownership.Node] = max(epochs[ownership.Node], ownership.Epoch)
		if ownership.Releasing {
			moving = append(moving, fmt.Sprintf("%d from %s to %s", ownership.Partition, ownership.Node, ownership.Successor))
		}
	}
	owners := make([]string, 0, len(epochs))
	for node := range epochs {
		owners = append(owners, node)
	}
	sort.Strings(owners)
	for _, node := range owners {
		name := node
		if name == "" {
			name = "nobody"
		}
		fmt.Fprintf(out, "  %s owns %d, newest epoch %d\n", name, status.Partitions[node], epochs[node])
	}
	if len(moving) > 0 {
		fmt.Fprintf(out, "  handed over: %s\n", strings.Join(moving, ", "))
	}
	printWaiting(out, status)
}

// printWaiting tells of partitions that wait for stores, and what to do where they wait for more than may be lost.
func printWaiting(out io.Writer, status *controlplane.Status) {
	partitions, silent := status.PendingTakeovers()
	if !status.Leader || partitions == 0 {
		return
	}
	fmt.Fprintf(out, "  %d are being taken over\n", partitions)
	if len(silent) > status.FaultTolerance {
		fmt.Fprintf(out, "  WAITING: %s hold no lease, and %d may be lost at one time. Accepted messages may be on these alone: bring one back, or\n"+
			"  go on without it by `foldlb-control abandon NODE --messages-may-be-lost`\n", strings.Join(silent, ", "), status.FaultTolerance)
	}
}

// printConfiguration tells which nodes do not have the newest configuration in force.
func printConfiguration(out io.Writer, status *controlplane.Status) {
	if status.ConfigVersion == 0 {
		fmt.Fprintln(out, "\nno configuration yet: send the first one with X-If-Version: 0")
		return
	}
	var behind []string
	for _, store := range status.Stores {
		switch {
		case store.Address == "":
		case status.Leader && !store.Lease:
			behind = append(behind, store.Node+" holds no lease")
		case store.ConfigVersion < status.ConfigVersion:
			behind = append(behind, fmt.Sprintf("%s has %d", store.Node, store.ConfigVersion))
		}
	}
	for _, dispatcher := range status.Dispatchers {
		if dispatcher.ConfigVersion < status.ConfigVersion {
			behind = append(behind, fmt.Sprintf("%s has %d", dispatcher.Node, dispatcher.ConfigVersion))
		}
	}
	switch {
	case !status.Leader:
		fmt.Fprintf(out, "\nconfiguration %d; where it is in force is known to the leader alone\n", status.ConfigVersion)
	case len(behind) == 0:
		fmt.Fprintf(out, "\nconfiguration %d is in force everywhere\n", status.ConfigVersion)
	default:
		fmt.Fprintf(out, "\nconfiguration %d is not yet in force everywhere: %s\n", status.ConfigVersion, strings.Join(behind, ", "))
	}
}
