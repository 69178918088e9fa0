/*
 * Lease, order intent and engine memory: packages leaser and orderer.
 *
 * Two instances, one engine with room for CAP of three models, N orders. The log
 * is one atomic step per append, since its order is the agreement and every
 * reader folds it alike. The clock is abstract: a lease lapses at any moment on
 * its holder's clock, and others may claim only after that. The longest message
 * delay is abstract too: an order closes when it has no message under way.
 *
 * FENCES=1: the engine refuses old fencing numbers. FENCES=0: it ignores them.
 * REMEMBERS=0: the engine runs a duplicate of an order that it has run.
 * Each MUTANT_x removes one guard; the checker must refute it.
 */
#ifndef FENCES
#define FENCES 0
#endif
#ifndef REMEMBERS
#define REMEMBERS 0
#endif
#ifndef N
#define N 3
#endif
#ifndef CLAIMS
#define CLAIMS 2
#endif
#ifndef CAP
#define CAP 2
#endif
#ifndef FAULTS
#define FAULTS 1
#endif
#define NONE 0
#define OPEN 1
#define SETTLED 2
#define FENCED 3
#define M 3
#define FENCE 6         /* operations: 0 to 2 load a model, 3 to 5 unload it */
#define IDLE 0          /* phases of a sender */
#define INTENDED 1
#define CHECKED 2
#define ENDED 3
#define UNKNOWN 4

/* The log's fold. */
byte holder = 2, fence = 0, used = 0;
byte state[N], op[N], who[N], num[N];
bool base[M];
bool booted = false;    /* the boot that the account knows: false or true */
bool fresh[2];          /* no entry since this instance's reading */

/* The instances. */
bool valid[2], gone[2], took[2];
byte phase[N];
typedef Reading { bool mem[M], seen[N], quiet[N], boot; byte num, fence }
Reading r[2];

/* The network and the engine. */
byte msgs[N];
bool mem[M], seen[N], boot = false;
byte number = 0;
byte faults = 0;

byte worst, again, i, j;

inline stale() { fresh[0] = false; fresh[1] = false }

inline count() {
    worst = 0; again = 0;
    if :: base[0] -> worst++ :: else fi;
    if :: base[1] -> worst++ :: else fi;
    if :: base[2] -> worst++ :: else fi;
    i = 0;
    do
    :: i < N ->
        if
#ifdef MUTANT_COUNT
        :: state[i] != NONE && op[i] < M && num[i] == fence ->
            again++;
            if :: state[i] == OPEN -> worst++ :: else fi
#elif defined(MUTANT_ECHO)
        :: state[i] == OPEN && op[i] < M ->
            again++;
            if :: state[i] == OPEN -> worst++ :: else fi
#else
        :: state[i] != NONE && op[i] < M ->
            again++;
            if :: state[i] == OPEN || (state[i] == SETTLED && !base[op[i]]) -> worst++ :: else fi
#endif
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

/* allowed tells in j whether the machine accepts an intent of operation o. */
inline allowed(o) {
    count();
    j = 1;
    i = 0;
    do
    :: i < N ->
        if
        :: state[i] == OPEN && (num[i] == fence || (o != FENCE && op[i] != FENCE && op[i] % M == o % M)) ->
#ifdef MUTANT_COUNT
            if :: num[i] == fence -> j = 0 :: else fi
#else
            j = 0
#endif
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    if
    :: o < M && (base[o % M] || worst + 1 > CAP) -> j = 0
#ifndef MUTANT_AGAIN
    :: o < M && again + 1 > CAP -> j = 0
#endif
    :: o >= M && o < FENCE && !base[o % M] -> j = 0
    :: else
    fi
}

inline intent(h, o) {
    allowed(o);
    if
    :: j == 1 ->
        state[used] = OPEN; op[used] = o; who[used] = h; num[used] = fence;
        stale();
        if :: phase[used] = INTENDED :: phase[used] = UNKNOWN fi;
        used++
#ifdef MUTANT_CONFIRM
    :: else -> op[used] = o; who[used] = h; num[used] = fence; phase[used] = INTENDED; used++
#else
    :: else
#endif
    fi;
    j = 0; worst = 0; again = 0
}

/* reading takes the engine's report, and notes what has no message under way. */
inline reading(h) {
    i = 0;
    do
    :: i < N ->
        r[h].seen[i] = seen[i] && state[i] != NONE;
#ifdef MUTANT_DELAY
        r[h].quiet[i] = state[i] != NONE;
#else
        r[h].quiet[i] = state[i] != NONE && msgs[i] == 0 &&
            (phase[i] == ENDED || (gone[who[i]] && who[i] != h));
#endif
        i++
    :: else -> break
    od;
    i = 0;
    r[h].mem[0] = mem[0]; r[h].mem[1] = mem[1]; r[h].mem[2] = mem[2];
    r[h].fence = fence; r[h].boot = boot; r[h].num = number;
    fresh[h] = true; took[h] = true
}

inline settle(h) {
    i = 0;
    if
    :: booted != r[h].boot ->
        booted = r[h].boot;
        do
        :: i < N ->
            if
#ifdef MUTANT_RESTART
            :: state[i] != NONE -> state[i] = NONE
#else
            :: state[i] != NONE -> state[i] = OPEN
#endif
            :: else
            fi;
            i++
        :: else -> break
        od
    :: else
    fi;
    base[0] = r[h].mem[0]; base[1] = r[h].mem[1]; base[2] = r[h].mem[2];
    i = 0;
    do
    :: i < N ->
        if
        :: state[i] != NONE && r[h].quiet[i] -> state[i] = NONE
        :: state[i] != NONE && !r[h].quiet[i] && r[h].seen[i] -> state[i] = SETTLED
#ifdef MUTANT_TRUST
        :: state[i] == OPEN && !r[h].quiet[i] && !r[h].seen[i] && num[i] < fence -> state[i] = FENCED
#else
        :: state[i] == OPEN && !r[h].quiet[i] && !r[h].seen[i] && FENCES && num[i] < r[h].num -> state[i] = FENCED
#endif
        :: else
        fi;
        r[h].seen[i] = false; r[h].quiet[i] = false;
        i++
    :: else -> break
    od;
    i = 0;
    r[h].mem[0] = false; r[h].mem[1] = false; r[h].mem[2] = false; r[h].fence = 0; r[h].boot = false; r[h].num = 0; took[h] = false;
    stale()
}

/* The last check, and after any pause, the send; or the withdrawal. */
#define ORDER(h, k) \
    :: atomic { phase[k] == INTENDED && who[k] == h && valid[h] -> phase[k] = CHECKED } \
    :: atomic { phase[k] == CHECKED && who[k] == h -> \
        phase[k] = ENDED; \
        if :: msgs[k] = 0 :: msgs[k] = 1 :: msgs[k] = 2 fi } \
    :: atomic { who[k] == h && (phase[k] == UNKNOWN || (phase[k] == INTENDED && !valid[h])) -> \
        phase[k] = ENDED; \
        if :: state[k] != NONE -> state[k] = NONE; stale() :: else fi }

#if N == 2
#define EACH(h) ORDER(h, 0) ORDER(h, 1)
#else
#define EACH(h) ORDER(h, 0) ORDER(h, 1) ORDER(h, 2)
#endif

inline steps(h) {
    do
    :: atomic { holder != h && fence < CLAIMS &&
#ifndef MUTANT_LEASE
        (holder == 2 || !valid[holder]) &&
#endif
        !gone[h] ->
            holder = h; fence++; valid[h] = true;
            assert(!valid[1 - h]) }
    :: atomic { valid[h] -> valid[h] = false }
    :: atomic { holder == h && !valid[h] -> valid[h] = true }
    :: atomic { holder == h && valid[h] && used < N -> intent(h, 0) }
    :: atomic { holder == h && valid[h] && used < N -> intent(h, 1) }
    :: atomic { holder == h && valid[h] && used < N -> intent(h, 2) }
    :: atomic { holder == h && valid[h] && used < N && base[0] -> intent(h, 3) }
    :: atomic { holder == h && valid[h] && used < N && base[1] -> intent(h, 4) }
    :: atomic { holder == h && valid[h] && used < N && base[2] -> intent(h, 5) }
#if FENCES
    :: atomic { holder == h && valid[h] && used < N && used > 0 && num[used - 1] < fence -> intent(h, FENCE) }
#endif
    EACH(h)
    /* A reading, and after any pause, its entry. */
    :: atomic { holder == h && valid[h] && !took[h] -> reading(h) }
    :: atomic { took[h] ->
        if
#ifdef MUTANT_BASIS
        :: holder == h -> settle(h)
#else
        :: holder == h && r[h].fence == fence && fresh[h] -> settle(h)
#endif
        :: else -> took[h] = false
        fi }
    :: atomic { !gone[1 - h] && faults < FAULTS -> faults++; gone[h] = true; valid[h] = false; break }
    od
}

proctype Instance0() { steps(0) }
proctype Instance1() { steps(1) }

inline carry(o) {
    if
    :: o < M -> mem[o] = true
    :: o >= M && o < FENCE -> mem[o - M] = false
    :: else
    fi;
    assert(mem[0] + mem[1] + mem[2] <= CAP)
}

#define MESSAGE(n) \
    :: atomic { msgs[n] > 0 -> \
        msgs[n]--; \
        if \
        :: FENCES && num[n] < number \
        :: else -> \
            if :: num[n] > number -> number = num[n] :: else fi; \
            if :: seen[n] && REMEMBERS :: else -> seen[n] = true; carry(op[n]) fi \
        fi } \
    :: atomic { msgs[n] > 0 -> msgs[n]-- }

proctype Engine() {
    do
    MESSAGE(0) MESSAGE(1)
#if N > 2
    MESSAGE(2)
#endif
    :: atomic { !boot && faults < FAULTS ->
        faults++;
        boot = true; mem[0] = false; mem[1] = false; mem[2] = false; number = 0;
        i = 0;
        do :: i < N -> seen[i] = false; i++ :: else -> break od;
        i = 0 }
    od
}

init { atomic { run Instance0(); run Instance1(); run Engine() } }
