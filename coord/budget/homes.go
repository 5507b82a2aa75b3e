package budget

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultHomes is the default number of nodes that share one endpoint's limit.
const DefaultHomes = 2

// Homes returns the n nodes that rank highest for the endpoint by rendezvous
// hashing, best first. The order of nodes does not matter. Removing a node
// changes the homes of only those endpoints that had it as a home.
func Homes(endpoint string, nodes []string, n int) []string {
	type scored struct {
		node  string
		score uint64
	}
	ranked := make([]scored, 0, len(nodes))
	for _, node := range nodes {
		ranked = append(ranked, scored{node, score(endpoint, node)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.node, b.node)
	})
	homes := make([]string, 0, min(n, len(ranked)))
	for _, s := range ranked[:min(n, len(ranked))] {
		homes = append(homes, s.node)
	}
	return homes
}

func score(endpoint, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(endpoint)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// split returns the part of total for the given rank among n nodes. The parts
// differ by at most one, and no part falls when total rises.
func split(total, n, rank int) int {
	if n == 0 {
		return 0
	}
	part := total / n
	if rank < total%n {
		part++
	}
	return part
}
