// Package coord is the root of the embeddable coordination library. The
// packages below it make every decision of pimentoshore and do no I/O: time,
// random seeds and observations come in as typed events, and the answers are
// typed effects that the embedding program carries out. The same inputs give
// the same outputs.
package coord

import _ "github.com/cespare/xxhash/v2"
