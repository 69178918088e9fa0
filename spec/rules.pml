/*
 * Rule lists: packages publisher and replayer.
 *
 * One log of at most L entries whose oldest ones can expire at any time, two
 * concurrent operators, and two instances, either of which can fall behind the
 * log's start. A list's version is its offset plus one. A publish names the version
 * that it replaces. A snapshot holds the state before its read offset.
 *
 * Each MUTANT_x removes one guard; the model checker must find a violation.
 */
#ifndef L
#define L 4
#endif
#define PUBLISH 1
#define SNAPSHOT 2
#define INSTANCES 2

byte kind[L], base[L], read[L], held[L];
byte length = 0, first = 0;
byte truth[L];          /* the version in force after each offset */
byte accepted[L];       /* the number of lists that replaced each version */

/* The instances. */
byte next[INSTANCES], version[INSTANCES], from[INSTANCES], shown[INSTANCES];
bool whole[INSTANCES];
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
        /* Another list may be published before this one is appended. */
        atomic { length < L -> publish(b) }
    od
}

proctype Retention() {
    do
    :: atomic { first < length -> first++ }
    od
}

inline fold(h, at) {
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
    :: kind[at] == SNAPSHOT && read[at] >= from[h] ->
#endif
        version[h] = held[at];
        whole[h] = true;
        i = read[at];
        do
        :: i < at ->
            if
            :: i >= from[h] -> fold(h, i)
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
        whole[h] = false;
#endif
        from[h] = first;
        next[h] = first }
    :: atomic { first <= next[h] && next[h] < length ->
        if
        :: whole[h] -> fold(h, next[h])
        :: else -> restore(h, next[h])
        fi;
        next[h]++;
        assert(!whole[h] || version[h] == IN_FORCE(next[h]));
        if
        :: whole[h] && version[h] > shown[h] -> shown[h] = version[h]
        :: else
        fi }
    /* An instance that cannot read the log takes a newer list from its peer. */
    :: atomic { shown[peer] != shown[h] ->
        before = shown[h];
        if
#ifdef MUTANT_REVERT
        :: true -> shown[h] = shown[peer]
#else
        :: shown[peer] > shown[h] -> shown[h] = shown[peer]
        :: else
#endif
        fi;
        assert(shown[h] >= before);
        before = 0 }
    /* A snapshot is appended later than it was taken. */
    :: atomic { whole[h] && length < L -> at = next[h]; state = version[h] };
        atomic {
        if
        :: length < L ->
            kind[length] = SNAPSHOT; read[length] = at; held[length] = state;
            truth[length] = IN_FORCE(length);
            length++
        :: else
        fi;
        at = 0; state = 0 }
    od
}

init {
    atomic {
        whole[0] = true;
        whole[1] = true;
        run Operator();
        run Operator();
        run Retention();
        run Instance(0);
        run Instance(1)
    }
}
