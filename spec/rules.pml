/*
 * Rule lists: packages publisher and replayer.
 *
 * One log of at most L entries that may lose its oldest entries at any time, two
 * concurrent operators, and two instances, one of which may start late. The
 * version of a list is its log offset plus one. A publish names the version that
 * it replaces. A snapshot contains the state before its read offset.
 *
 * Each MUTANT_x removes one guard; the checker must refute it.
 */
#ifndef L
#define L 4
#endif
#define PUBLISH 1
#define SNAPSHOT 2
#define INSTANCES 2

byte kind[L], base[L], snapshotOffset[L], snapshotVersion[L];
byte length = 0, first = 0;
byte truth[L];          /* the version in force after each entry */
byte accepted[L];       /* number of lists that replaced each version */

/* The instances. */
byte next[INSTANCES], version[INSTANCES], firstRead[INSTANCES], applied[INSTANCES];
bool complete[INSTANCES];
byte i;

#define IN_FORCE(n) (n == 0 -> 0 : truth[n - 1])

inline publish(b) {
    kind[length] = PUBLISH;
    base[length] = b;
    truth[length] = IN_FORCE(length);
    if
#ifdef MUTANT_BASE
    :: true ->
#else
    :: b == truth[length] ->
#endif
        truth[length] = length + 1;
        accepted[b]++;
        assert(accepted[b] <= 1)
    :: else
    fi;
    length++
}

proctype Operator() {
    byte b;
    do
    :: length < L -> b = IN_FORCE(length);
        /* Other lists may be published before this one is appended. */
        atomic { length < L -> publish(b) }
    od
}

proctype Retention() {
    do
    :: atomic { first < length -> first++ }
    od
}

inline applyEntry(h, at) {
    if
#ifdef MUTANT_BASE
    :: kind[at] == PUBLISH -> version[h] = at + 1
#else
    :: kind[at] == PUBLISH && base[at] == version[h] -> version[h] = at + 1
#endif
    :: else
    fi
}

inline restore(h, at) {
    if
#ifdef MUTANT_SNAPSHOT
    :: kind[at] == SNAPSHOT ->
#else
    :: kind[at] == SNAPSHOT && snapshotOffset[at] >= firstRead[h] ->
#endif
        version[h] = snapshotVersion[at];
        complete[h] = true;
        i = snapshotOffset[at];
        do
        :: i < at ->
            if
            :: i >= firstRead[h] -> applyEntry(h, i)
            :: else
            fi;
            i++
        :: else -> break
        od;
        i = 0
    :: else
    fi
}

proctype Instance(byte h) {
    byte peer = 1 - h;
    byte before, at, state;
    do
    :: atomic { first > next[h] ->
#ifndef MUTANT_START
        complete[h] = false;
#endif
        firstRead[h] = first;
        next[h] = first }
    :: atomic { first <= next[h] && next[h] < length ->
        if
        :: complete[h] -> applyEntry(h, next[h])
        :: else -> restore(h, next[h])
        fi;
        next[h]++;
        assert(!complete[h] || version[h] == IN_FORCE(next[h]));
        if
        :: complete[h] && version[h] > applied[h] -> applied[h] = version[h]
        :: else
        fi }
    /* An instance that can't read the log gets the list from its peer. */
    :: atomic { applied[peer] != applied[h] ->
        before = applied[h];
        if
#ifdef MUTANT_REVERT
        :: true -> applied[h] = applied[peer]
#else
        :: applied[peer] > applied[h] -> applied[h] = applied[peer]
        :: else
#endif
        fi;
        assert(applied[h] >= before);
        before = 0 }
    /* A snapshot is appended some time after it was taken. */
    :: atomic { complete[h] && length < L -> at = next[h]; state = version[h] };
        atomic {
        if
        :: length < L ->
            kind[length] = SNAPSHOT; snapshotOffset[length] = at; snapshotVersion[length] = state;
            truth[length] = IN_FORCE(length);
            length++
        :: else
        fi;
        at = 0; state = 0 }
    od
}

init {
    atomic {
        complete[0] = true;
        complete[1] = true;
        run Operator();
        run Operator();
        run Retention();
        run Instance(0);
        run Instance(1)
    }
}
