package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cicadapulley/cicadapulley/core/work"
)

// minIndexLeaves is the size of an empty index.
const minIndexLeaves = 8

// endpointIndex finds, among the endpoints of a pool, the one that is expected to
// finish a task first, without a scan of all endpoints. It is a binary tree whose
// leaves are the endpoints, sorted by slowdown when it was last built. Each inner
// node has bounds of the endpoints below it, so that a search skips subtrees
// without a better endpoint. The order of the leaves affects only the cost of a
// search, not its result.
type endpointIndex struct {
	// nodes is the tree: the children of node n are 2n and 2n+1, the root is node 1,
	// and the leaves are the second half. Node 0 is not used.
	nodes []indexNode
	// endpoints are those of the leaves; nil for an unused leaf.
	endpoints []*endpoint
	// used is the number of leaves in use, including those of removed endpoints.
	used int
}

// indexNode has bounds of the endpoints of a subtree.
type indexNode struct {
	// free has the largest free amount of each resource among the endpoints that
	// may get a run now; negative if there are none.
	free work.Resources
	// ratio is the lowest slowdown among them.
	ratio float64
	// usableRatio is the lowest slowdown among the usable endpoints, whether or not
	// they have free resources.
	usableRatio float64
	// rate is the nominal work that the usable endpoints do, in cores.
	rate float64
}

// emptyNode is the node of a subtree without usable endpoints.
var emptyNode = indexNode{
	free:  work.Resources{CPU: -1, MemoryMB: -1, GPU: -1},
	ratio: math.Inf(1), usableRatio: math.Inf(1),
}

func newEndpointIndex() *endpointIndex {
	x := &endpointIndex{}
	x.build(nil, minIndexLeaves)
	return x
}

// build makes the tree of the given leaves, with room for at least the given number.
func (x *endpointIndex) build(leaves []indexLeaf, capacity int) {
	size := minIndexLeaves
	for size < capacity {
		size *= 2
	}
	x.nodes = make([]indexNode, 2*size)
	x.endpoints = make([]*endpoint, size)
	for i := range x.nodes {
		x.nodes[i] = emptyNode
	}
	for i, l := range leaves {
		x.endpoints[i] = l.endpoint
		l.endpoint.leaves[x] = i
		x.nodes[size+i] = l.node
	}
	x.used = len(leaves)
	for n := size - 1; n >= 1; n-- {
		x.nodes[n] = combine(&x.nodes[2*n], &x.nodes[2*n+1])
	}
}

func combine(a, b *indexNode) indexNode {
	return indexNode{
		free: work.Resources{
			CPU: max(a.free.CPU, b.free.CPU), MemoryMB: max(a.free.MemoryMB, b.free.MemoryMB), GPU: max(a.free.GPU, b.free.GPU),
		},
		ratio:       min(a.ratio, b.ratio),
		usableRatio: min(a.usableRatio, b.usableRatio),
		rate:        a.rate + b.rate,
	}
}

// size returns the number of leaves, which is also the node of the first leaf.
func (x *endpointIndex) size() int { return len(x.endpoints) }

// root returns the bounds of all endpoints.
func (x *endpointIndex) root() *indexNode { return &x.nodes[1] }

// set updates the leaf of an endpoint, which it adds if it has none.
func (x *endpointIndex) set(e *endpoint, node indexNode) {
	leaf, ok := e.leaves[x]
	if !ok {
		if x.used == x.size() {
			x.build(x.currentLeaves(), 2*x.size())
		}
		leaf = x.used
		x.used++
		x.endpoints[leaf] = e
		e.leaves[x] = leaf
	}
	x.setNode(x.size()+leaf, node)
}

// remove removes the endpoint's leaf.
func (x *endpointIndex) remove(e *endpoint) {
	leaf, ok := e.leaves[x]
	if !ok {
		return
	}
	delete(e.leaves, x)
	x.endpoints[leaf] = nil
	x.setNode(x.size()+leaf, emptyNode)
}

// setNode sets the node of a leaf and the bounds of the nodes above it.
func (x *endpointIndex) setNode(n int, node indexNode) {
	if x.nodes[n] == node {
		return
	}
	x.nodes[n] = node
	for n /= 2; n >= 1; n /= 2 {
		combined := combine(&x.nodes[2*n], &x.nodes[2*n+1])
		if x.nodes[n] == combined {
			return
		}
		x.nodes[n] = combined
	}
}

// indexLeaf is an endpoint with the node of its leaf.
type indexLeaf struct {
	endpoint *endpoint
	node     indexNode
}

func (x *endpointIndex) currentLeaves() []indexLeaf {
	leaves := make([]indexLeaf, 0, x.used)
	for i, e := range x.endpoints[:x.used] {
		if e != nil {
			leaves = append(leaves, indexLeaf{endpoint: e, node: x.nodes[x.size()+i]})
		}
	}
	return leaves
}

// sort sorts the leaves by slowdown, so that the subtrees have narrow bounds, and
// frees the leaves of removed endpoints.
func (x *endpointIndex) sort() {
	leaves := x.currentLeaves()
	slices.SortStableFunc(leaves, func(a, b indexLeaf) int {
		return cmp.Compare(a.endpoint.slowdown.ratio, b.endpoint.slowdown.ratio)
	})
	x.build(leaves, len(leaves))
}

// search looks below node n for an endpoint that suits the query better than the best
// one so far.
func (x *endpointIndex) search(n int, q *query) {
	node := &x.nodes[n]
	if q.avoid.exhausted() || !q.step.Need.Fits(node.free) || !q.better(q.lowerBound(node.ratio), node.free.CPU) {
		return
	}
	if n >= x.size() {
		q.consider(x.endpoints[n-x.size()])
		return
	}
	first, second := 2*n, 2*n+1
	a, b := &x.nodes[first], &x.nodes[second]
	if b.ratio < a.ratio || b.ratio == a.ratio && b.free.CPU > a.free.CPU {
		first, second = second, first
	}
	x.search(first, q)
	x.search(second, q)
}
