/*
 * Models the coordinator lease of one data centre: promises that extend the
 * lease during an outage of the platform's table, fencing, and orders that
 * place VMs in groups.
 *
 * Each action is atomic and may be delayed indefinitely, which covers pauses,
 * outages of the table for some or all nodes, and late messages. Time advances
 * by tick(). Durations are in ticks of the slowest clock, so a wait of d ticks
 * stands for Options.stretch(d).
 *
 * Each group consists of two endpoints. Endpoint 0 checks fencing, endpoint 1
 * does not. The coordinator of term t orders both into group t. The endpoints
 * do not affect each other or the nodes, so each is checked separately, with
 * -DENDPOINT=0 or -DENDPOINT=1.
 *
 * docs/design/lease.md lists the Go function that implements each action.
 */

#ifndef N
#define N 3          /* nodes: 0 holds the lease, 1 is listed, 2 is new */
#endif
#ifndef MAXREV
#define MAXREV 4     /* highest revision of the row; the first is 1 */
#endif
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef DEATHS
#define DEATHS 1
#endif

#define D 2          /* duration of the lease */
#define P 2          /* duration of a promise */
#define ORDER 1      /* timeout of an order */
#define PAUSE 1      /* bound on an order's delay beyond its timeout */
#define ORPHAN N     /* index of the write left by a process that ended */

#define BIT(i) (1 << (i))
#define PAIR(n, x) ((n) * N + (x))

#ifdef NO_LEASE_WAIT
#define LEASE_WAIT 0
#else
#define LEASE_WAIT D
#endif
#ifdef NO_ORDER_WAIT
#define ORDER_WAIT 0
#else
#define ORDER_WAIT (ORDER + PAUSE)
#endif
#ifdef SHORT_ORDER_WAIT
#undef ORDER_WAIT
#define ORDER_WAIT ORDER
#endif

/* Contents of the row at each revision, and the set of registered nodes. */
byte rev = 1;
byte rowTerm[MAXREV + 1];
byte rowHolder[MAXREV + 1];
byte rowInc[MAXREV + 1];
byte rowCand[MAXREV + 1];
bit rowReleased[MAXREV + 1];
byte registered = BIT(0) | BIT(1);

/* Writes in flight to the table: one per node, and one of an ended process. */
byte wCond[N + 1];   /* revision that the write requires; 0 if there is no write */
byte wTerm[N + 1];
byte wHolder[N + 1];
byte wInc[N + 1];
byte wCand[N + 1];
bit wReleased[N + 1];
byte applied[N];     /* reply in flight: the revision written, or 0 */

/* State of the nodes. */
bit dead[N];         /* the VM has failed permanently */
byte inc[N];         /* incarnation: number of restarts */
byte known[N];       /* newest revision read, 0 before the first read */
byte left[N];        /* time left of the lease; the node holds it while above 0 */
byte term[N];        /* term of the lease held */
byte aCond[N];       /* revision required by a write with unknown outcome, or 0 */
byte aLeft[N];       /* time left of the lease if that write succeeds */
byte aTerm[N];
byte aCand[N];
byte wait[N];        /* time until a takeover of the lease in the row is allowed */
byte promised[N];    /* time until this node's latest promise expires */
byte unfenced[N];    /* time until orders to endpoint 1 are allowed */
byte promiseLeft[N * N];  /* time until the promise of x to n expires, as n counts it */

/* Requests for promises from n to x, and the replies. */
byte requestLeft[N * N];  /* time left of a promise, counted from the request */
bit reply[N * N];    /* a reply with a promise is in flight */

/* Orders in flight, by term, and the state of the endpoint. */
byte order0;         /* set of terms; an order may arrive at any time and repeatedly */
byte order1[MAXTERM + 1]; /* time left in which the order may arrive */
byte group;
byte confirmed;      /* latest group that a lease holder received in a report */

hidden byte x;
hidden byte least;
#ifdef NO_MEMORY_WAIT
hidden byte firstRead;
#endif

byte restarts = RESTARTS;
byte deaths = DEATHS;

#define ROW_HOLDER(n) (known[n] != 0 && rowHolder[known[n]] == n && rowInc[known[n]] == inc[n])
#define LISTED(n) ((rowCand[known[n]] & BIT(n)) != 0)
#define RIVALS(n) ((rowCand[known[n]] | aCand[n]) & ~BIT(n))
#ifdef ANY_NEWCOMER
#define ELIGIBLE(n) true
#else
#define ELIGIBLE(n) (LISTED(n) || rowReleased[known[n]] || dead[rowHolder[known[n]]])
#endif
#if defined(ENDPOINT) && ENDPOINT == 1
#define UNFENCED(n) unfenced[n] = ORDER_WAIT
#else
#define UNFENCED(n) skip
#endif
#define FREE(n) (aCond[n] == 0 || known[n] == rev)
#ifdef EXTEND_FROM_RECEIPT
#define PROMISE_LEFT(n, i) P
#else
#define PROMISE_LEFT(n, i) requestLeft[PAIR(n, i)]
#endif
#define HOLDS(n) (left[n] != 0)
#ifdef REVIVE
#define MAY_EXTEND(n) (!dead[n] && ROW_HOLDER(n) && !rowReleased[known[n]] && term[n] != 0)
#else
#define MAY_EXTEND(n) HOLDS(n)
#endif
#ifdef ADOPT_EARLY
#define MAY_ADOPT(n) true
#else
#define MAY_ADOPT(n) (promised[n] == 0)
#endif

inline checkHolders() {
#if N == 3
  assert(!(HOLDS(0) && HOLDS(1)) && !(HOLDS(0) && HOLDS(2)) && !(HOLDS(1) && HOLDS(2)))
#else
  assert(!(HOLDS(0) && HOLDS(1)))
#endif
}

inline loseLease(n) {
  left[n] = 0; term[n] = 0;
  promiseLeft[PAIR(n, 0)] = 0; requestLeft[PAIR(n, 0)] = 0; reply[PAIR(n, 0)] = 0;
  promiseLeft[PAIR(n, 1)] = 0; requestLeft[PAIR(n, 1)] = 0; reply[PAIR(n, 1)] = 0;
#if N == 3
  promiseLeft[PAIR(n, 2)] = 0; requestLeft[PAIR(n, 2)] = 0; reply[PAIR(n, 2)] = 0
#endif
}

/*
 * Discards the record of a write. The reply is discarded too: the token of a
 * write distinguishes its late reply from the reply to another write.
 */
inline settle(n) {
  aCond[n] = 0; aLeft[n] = 0; aTerm[n] = 0; aCand[n] = 0;
#ifndef NO_TOKEN
  applied[n] = 0
#endif
}

inline grant(n) {
  if
  :: aLeft[n] > left[n] -> left[n] = aLeft[n]; term[n] = aTerm[n]
  :: else
  fi;
  checkHolders()
}

/* Clears old revisions of the row that no node refers to. */
inline clearUnusedRevisions() {
  x = 1;
  do
  :: x < rev ->
#if N == 3
     if
     :: known[0] != x && known[1] != x && known[2] != x ->
#else
     if
     :: known[0] != x && known[1] != x ->
#endif
        rowTerm[x] = 0; rowHolder[x] = 0; rowInc[x] = 0; rowCand[x] = 0; rowReleased[x] = 0
     :: else
     fi;
     x++
  :: else -> break
  od;
  x = 0
}

/* Updates node n to revision r of the row. */
inline updateKnown(n, r) {
#ifdef NO_MEMORY_WAIT
  firstRead = (known[n] == 0);
#endif
  known[n] = r;
  if
  :: rowReleased[r] -> wait[n] = 0
#ifdef NO_MEMORY_WAIT
  :: !rowReleased[r] && firstRead -> wait[n] = 0
#endif
  :: else -> wait[n] = LEASE_WAIT
  fi;
  if
  :: ROW_HOLDER(n) ->
     wait[n] = 0;
     if
     :: !rowReleased[r] && aCond[n] != 0 && MAY_ADOPT(n) -> grant(n)
     :: else
     fi
  :: else -> loseLease(n)
  fi;
  settle(n);
  clearUnusedRevisions()
}

/* Sends a write, which replaces any write of the node still in flight. */
inline send(n, t, c, r) {
  wCond[n] = known[n]; wTerm[n] = t; wHolder[n] = n; wInc[n] = inc[n];
  wCand[n] = c; wReleased[n] = r;
  aCond[n] = known[n]; aTerm[n] = t; aCand[n] = aCand[n] | c;
  if
  :: r -> aLeft[n] = 0
  :: else -> aLeft[n] = D
  fi
}

inline dropWrite(i) {
  wCond[i] = 0; wTerm[i] = 0; wHolder[i] = 0; wInc[i] = 0; wCand[i] = 0; wReleased[i] = 0
}

/*
 * Ends the process on node n. Its write in flight, if any, stays in flight
 * unless that of another ended process already is.
 */
inline stopProcess(n) {
  if
  :: wCond[n] != 0 && wCond[ORPHAN] == 0 ->
     wCond[ORPHAN] = wCond[n]; wTerm[ORPHAN] = wTerm[n]; wHolder[ORPHAN] = wHolder[n];
     wInc[ORPHAN] = wInc[n]; wCand[ORPHAN] = wCand[n]; wReleased[ORPHAN] = wReleased[n]
  :: else
  fi;
  dropWrite(n);
  applied[n] = 0; known[n] = 0; wait[n] = 0;
  promised[n] = 0; unfenced[n] = 0;
  loseLease(n);
  settle(n);
  clearUnusedRevisions()
}

/* Extends the lease to the earliest expiry of the promises of all rivals. */
inline extend(n) {
  least = P;
  x = 0;
  do
  :: x < N ->
     if
     :: (RIVALS(n) & BIT(x)) != 0 ->
#ifdef ONE_PROMISE
        if
        :: promiseLeft[PAIR(n, x)] != 0 -> least = promiseLeft[PAIR(n, x)]; break
        :: else -> least = 0
        fi
#else
        if
        :: promiseLeft[PAIR(n, x)] < least -> least = promiseLeft[PAIR(n, x)]
        :: else
        fi
#endif
     :: else
     fi;
     x++
  :: else -> break
  od;
  x = 0;
  if
  :: least > left[n] -> left[n] = least
  :: else
  fi;
  least = 0;
  checkHolders()
}

/* Handles a request for a promise from node h on node c. */
inline promise(c, h) {
  if
  :: known[h] > known[c] ->
     if
     :: aCond[c] != 0 && aCond[c] < known[h] -> settle(c)
     :: else
     fi;
     loseLease(c)
  :: else
  fi;
  if
#ifndef PROMISE_UNSETTLED
  :: aCond[c] != 0 -> requestLeft[PAIR(h, c)] = 0
#endif
  :: HOLDS(c) -> requestLeft[PAIR(h, c)] = 0
  :: known[h] < known[c] && !(rowHolder[known[c]] == h && rowInc[known[c]] == inc[h]) ->
     requestLeft[PAIR(h, c)] = 0
  :: else ->
#ifndef FORGET_PROMISE
     promised[c] = P;
#endif
     reply[PAIR(h, c)] = 1
  fi
}

proctype node(byte n) {
  do
  /* Reads and writes of the table. */
  :: d_step { !dead[n] && known[n] < rev -> updateKnown(n, rev) }
  :: d_step { !dead[n] && applied[n] > known[n] && aCond[n] != 0 -> updateKnown(n, applied[n]) }
  :: d_step { !dead[n] && aCond[n] != 0 && wCond[n] != 0 && wCond[n] < rev -> dropWrite(n); settle(n) }
#ifdef NO_READ_BACK
  :: d_step { !dead[n] && aCond[n] != 0 && aLeft[n] > left[n] && promised[n] == 0 -> grant(n) }
#endif
  :: d_step { !dead[n] && ROW_HOLDER(n) && !rowReleased[known[n]] && promised[n] == 0 && FREE(n) && rev < MAXREV ->
       send(n, rowTerm[known[n]], (registered | BIT(n)), 0) }
  :: d_step { !dead[n] && ROW_HOLDER(n) && !rowReleased[known[n]] && promised[n] == 0 && FREE(n) && rev < MAXREV &&
       rowCand[known[n]] != BIT(n) ->
       send(n, rowTerm[known[n]], BIT(n), 0) }
  :: d_step { HOLDS(n) && ROW_HOLDER(n) && FREE(n) && rev < MAXREV ->
       loseLease(n); send(n, rowTerm[known[n]], rowCand[known[n]] & ~BIT(n), 1) }
  :: d_step { !dead[n] && known[n] != 0 && !ROW_HOLDER(n) && promised[n] == 0 && wait[n] == 0 && FREE(n) &&
       rev < MAXREV && rowTerm[known[n]] < MAXTERM && ELIGIBLE(n) ->
       send(n, rowTerm[known[n]] + 1, rowCand[known[n]] | BIT(n), 0);
       UNFENCED(n) }
  :: d_step { !dead[n] && (registered & BIT(n)) == 0 -> registered = registered | BIT(n) }

  /* Promises, exchanged with each other node. */
  :: d_step { HOLDS(n) && RIVALS(n) == 0 && left[n] < P -> extend(n) }
  :: d_step { MAY_EXTEND(n) && (RIVALS(n) & BIT((n + 1) % N)) != 0 && left[n] < D && requestLeft[PAIR(n, (n + 1) % N)] != P ->
       requestLeft[PAIR(n, (n + 1) % N)] = P; reply[PAIR(n, (n + 1) % N)] = 0 }
#if N == 3
  :: d_step { MAY_EXTEND(n) && (RIVALS(n) & BIT((n + 2) % N)) != 0 && left[n] < D && requestLeft[PAIR(n, (n + 2) % N)] != P ->
       requestLeft[PAIR(n, (n + 2) % N)] = P; reply[PAIR(n, (n + 2) % N)] = 0 }
#endif
  :: d_step { !dead[n] && requestLeft[PAIR((n + 1) % N, n)] != 0 && !reply[PAIR((n + 1) % N, n)] -> promise(n, (n + 1) % N) }
#if N == 3
  :: d_step { !dead[n] && requestLeft[PAIR((n + 2) % N, n)] != 0 && !reply[PAIR((n + 2) % N, n)] -> promise(n, (n + 2) % N) }
#endif
  :: d_step { MAY_EXTEND(n) && reply[PAIR(n, (n + 1) % N)] && requestLeft[PAIR(n, (n + 1) % N)] > promiseLeft[PAIR(n, (n + 1) % N)] ->
       promiseLeft[PAIR(n, (n + 1) % N)] = PROMISE_LEFT(n, (n + 1) % N); extend(n) }
#if N == 3
  :: d_step { MAY_EXTEND(n) && reply[PAIR(n, (n + 2) % N)] && requestLeft[PAIR(n, (n + 2) % N)] > promiseLeft[PAIR(n, (n + 2) % N)] ->
       promiseLeft[PAIR(n, (n + 2) % N)] = PROMISE_LEFT(n, (n + 2) % N); extend(n) }
#endif

#ifdef ENDPOINT
  /* Orders and reports. */
#if ENDPOINT == 0
  :: d_step { HOLDS(n) && (order0 & BIT(term[n])) == 0 -> order0 = order0 | BIT(term[n]) }
#else
  :: d_step { left[n] >= ORDER && unfenced[n] == 0 && order1[term[n]] < ORDER + PAUSE ->
       order1[term[n]] = ORDER + PAUSE }
#endif
  :: d_step { HOLDS(n) && group == term[n] && confirmed != term[n] -> confirmed = term[n] }
#endif

  /* Faults. */
  :: d_step { !dead[n] && restarts > 0 -> restarts--; stopProcess(n); inc[n]++ }
  :: d_step { !dead[n] && deaths > 0 -> deaths--; stopProcess(n); dead[n] = 1 }
  od
}

inline apply(i) {
  if
  :: wCond[i] == rev ->
     rev++;
     rowTerm[rev] = wTerm[i]; rowHolder[rev] = wHolder[i]; rowInc[rev] = wInc[i];
     rowCand[rev] = wCand[i]; rowReleased[rev] = wReleased[i];
     if
     :: i < N -> applied[i] = rev
     :: else
     fi
  :: else
  fi;
  dropWrite(i)
}

proctype table() {
  do
  :: d_step { wCond[0] == rev -> apply(0) }
  :: d_step { wCond[1] == rev -> apply(1) }
#if N == 3
  :: d_step { wCond[2] == rev -> apply(2) }
#endif
  :: d_step { wCond[ORPHAN] != 0 -> apply(ORPHAN) }
  od
}

#ifdef ENDPOINT
/* Executes an order into group t on the endpoint. */
inline accept(t) {
#if ENDPOINT == 0 && !defined(NO_FENCE)
  if
  :: t >= group -> group = t
  :: else
  fi;
#else
  assert(t >= group);
  group = t;
#endif
  assert(group >= confirmed)
}

proctype endpoint() {
  do
#if ENDPOINT == 0
  :: d_step { (order0 & BIT(1)) != 0 && group != 1 -> accept(1) }
  :: d_step { (order0 & BIT(2)) != 0 && group != 2 -> accept(2) }
  :: d_step { (order0 & BIT(3)) != 0 && group != 3 -> accept(3) }
#else
  :: d_step { order1[1] != 0 && group != 1 -> accept(1) }
  :: d_step { order1[2] != 0 && group != 2 -> accept(2) }
  :: d_step { order1[3] != 0 && group != 3 -> accept(3) }
#endif
  od
}
#endif

inline decrement(v) {
  if
  :: v != 0 -> v--
  :: else
  fi
}

inline tick() {
  x = 0;
  do
  :: x < N ->
     decrement(aLeft[x]); decrement(wait[x]); decrement(promised[x]); decrement(unfenced[x]);
     if
#ifndef REVIVE
     :: left[x] == 1 -> loseLease(x)
#endif
     :: else -> decrement(left[x])
     fi;
     x++
  :: else -> break
  od;
  x = 0;
  do
  :: x < N * N ->
     decrement(promiseLeft[x]); decrement(requestLeft[x]);
     if
     :: requestLeft[x] == 0 -> reply[x] = 0
     :: else
     fi;
     x++
  :: else -> break
  od;
  x = 0;
  decrement(order1[1]); decrement(order1[2]); decrement(order1[3])
}

proctype clock() {
  do
  :: d_step { tick() }
  od
}

init {
  d_step {
    rowTerm[1] = 1; rowHolder[1] = 0; rowCand[1] = 3;
    known[0] = 1; known[1] = 1;
    left[0] = D; term[0] = 1;
    wait[1] = D
  }
  atomic {
    run node(0); run node(1);
#if N == 3
    run node(2);
#endif
   
    run table(); run clock();
#ifdef ENDPOINT
    run endpoint()
#endif
  }
}
