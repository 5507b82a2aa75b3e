package budget

import "github.com/pimentoshore/pimentoshore/coord/member"

// Announcement tells a node which ledger is in force. The node refuses grants of
// earlier terms from then on and answers with a full Usage that repeats the
// nonce.
type Announcement struct {
	Source string `json:"source"`
	Term   uint64 `json:"term"`
	Node   string `json:"node"`
	Nonce  uint64 `json:"nonce"`
}

// Grant sets a node's part of an endpoint's limit. It replaces every grant
// with an earlier fence.
type Grant struct {
	// Source names the ledger, usually by its data centre.
	Source          string       `json:"source"`
	Fence           member.Fence `json:"fence"`
	Node            string       `json:"node"`
	NodeIncarnation string       `json:"node_incarnation"`
	Endpoint        string       `json:"endpoint"`
	Incarnation     string       `json:"incarnation"`
	// Limit is the number of concurrent requests that the node may have at
	// this incarnation of the endpoint, Cold at any later one.
	Limit int `json:"limit"`
	Cold  int `json:"cold"`
	// Scarce says that the nodes together ask for more than the limit.
	Scarce bool `json:"scarce,omitempty"`
}

// Entry is one endpoint's part of a Usage.
type Entry struct {
	Endpoint    string       `json:"endpoint"`
	Incarnation string       `json:"incarnation"`
	Fence       member.Fence `json:"fence"`
	// Held is the larger of the node's limit and its requests in flight at
	// this incarnation, Earlier counts those at the one before that may still
	// run.
	Held    int `json:"held"`
	Earlier int `json:"earlier,omitempty"`
	Cold    int `json:"cold"`
	// Demand counts requests in flight and waiting for a larger share.
	Demand int `json:"demand"`
	// Completed counts whole answers from this incarnation to this node.
	Completed uint64 `json:"completed"`
}

// Usage is a node's account of what it holds. A full one lists everything
// held from the source; others list what changed.
type Usage struct {
	Source          string `json:"source"`
	Term            uint64 `json:"term"`
	Nonce           uint64 `json:"nonce"`
	Node            string `json:"node"`
	NodeIncarnation string `json:"node_incarnation"`
	// Sequence grows with each usage of one node incarnation.
	Sequence uint64 `json:"sequence"`
	Full     bool   `json:"full,omitempty"`
	// Stopping says that the node gives up its shares for good.
	Stopping bool    `json:"stopping,omitempty"`
	Entries  []Entry `json:"entries,omitempty"`
}

// Effects are the messages that a ledger wants sent.
type Effects struct {
	Grants        []Grant
	Announcements []Announcement
}

func (e *Effects) add(other Effects) {
	e.Grants = append(e.Grants, other.Grants...)
	e.Announcements = append(e.Announcements, other.Announcements...)
}
