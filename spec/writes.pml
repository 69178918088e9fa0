/*
 * Write claims: package claimer.
 *
 * T attempts at one write with one key, each on its own instance, one log and one
 * plain service. An entry sent to the log is appended, possibly late or more than
 * once, or is lost; an attempt knows the result only once it reads the entry back.
 * A message to the service arrives, possibly late, or is lost, and its answer may
 * be lost as well. Any attempt may crash between any two steps.
 *
 * The state derived from the log may be lost once (a reset after retention).
 * Claims appended after that are rejected, since their key may be a lost one. The
 * time after which lost keys expire, and may be used again, is not modelled.
 *
 * Each MUTANT_x removes one guard; the checker must refute it.
 */
#ifndef T
#define T 3
#endif
#define NONE 255
#define NOTRUN 1        /* verdict sent to a client */
#define MAYHAVERUN 2
#define RAN 3
#define ACCEPTED 1      /* result of a claim */
#define TAKEN 2
#define LOST 3

/* The state that results from the log: the attempt with the claim, and the outcome. */
byte owner = NONE, outcome = 0;
bool reset = false;

/* Entries and messages in transit. */
bool claim[T], record[T], withdraw[T], message[T];
byte recorded[T], result[T];

/* What really happened, and the verdicts sent to clients. */
byte runs = 0;
bool ran[T], crashed[T];
byte sentVerdict[T];

inline answer(t, verdict) { sentVerdict[t] = verdict }

proctype Attempt(byte t) {
    claim[t] = true;
#ifdef MUTANT_EARLY
    goto send;
#endif
    if
    :: result[t] == ACCEPTED -> goto send
    :: result[t] == TAKEN -> goto wait
    :: result[t] == LOST -> answer(t, NOTRUN); goto abandoned
    :: answer(t, NOTRUN) -> goto abandoned
    :: goto crash
    fi;

send:
    if
    :: message[t] = true
    :: goto unsent
    :: goto crash
    fi;
    if
    :: ran[t] -> recorded[t] = RAN; answer(t, RAN)
#ifdef MUTANT_RESEND
    :: withdraw[t] = true; answer(t, NOTRUN); goto end
#else
    :: recorded[t] = MAYHAVERUN; answer(t, MAYHAVERUN)
#endif
    :: goto crash
    fi;
    record[t] = true;
    goto end;

unsent:
    withdraw[t] = true;
    answer(t, NOTRUN);
    goto end;

wait:
    if
    :: outcome == RAN -> answer(t, RAN)
    :: outcome == MAYHAVERUN -> answer(t, MAYHAVERUN)
    :: owner == NONE -> answer(t, NOTRUN)
#ifdef MUTANT_TAKEOVER
    :: owner != NONE && crashed[owner] -> goto send
#endif
    :: answer(t, MAYHAVERUN)
    :: goto crash
    fi;
    goto end;

abandoned:
    /* The claim may be appended late. The write was never sent, so the claim may be
       withdrawn. */
    if
    :: owner == t -> withdraw[t] = true
    :: goto crash
    fi;
    goto end;

crash:
    crashed[t] = true;
end:
    skip
}

/* KEEP removes an entry in transit, or keeps it so that it is appended again. */
#define KEEP(entry) if :: entry = false :: true fi

inline appendClaim(t) {
    KEEP(claim[t]);
    if
#ifndef MUTANT_RESET
    :: reset -> if :: result[t] == 0 -> result[t] = LOST :: else fi
#endif
#ifdef MUTANT_LAST
    :: true -> owner = t; outcome = 0; result[t] = ACCEPTED
#else
#ifdef MUTANT_RESET
    :: owner == NONE ->
#else
    :: !reset && owner == NONE ->
#endif
        owner = t; outcome = 0;
        if :: result[t] == 0 -> result[t] = ACCEPTED :: else fi
    :: owner != NONE && result[t] == 0 -> result[t] = TAKEN
    :: owner != NONE && result[t] != 0
#endif
    fi
}

inline appendRecord(t) {
    KEEP(record[t]);
    if
    :: owner == t && outcome == 0 -> outcome = recorded[t]
    :: else
    fi
}

inline appendWithdraw(t) {
    KEEP(withdraw[t]);
    if
#ifdef MUTANT_WITHDRAW
    :: outcome == 0 -> owner = NONE
#else
    :: owner == t && outcome == 0 -> owner = NONE
#endif
    :: else
    fi
}

/* Network delivers, repeats or loses the entries and messages of attempt t. */
proctype Network(byte t) {
    do
    :: atomic { claim[t] -> appendClaim(t) }
    :: atomic { claim[t] -> claim[t] = false }
    :: atomic { record[t] -> appendRecord(t) }
    :: atomic { record[t] -> record[t] = false }
    :: atomic { withdraw[t] -> appendWithdraw(t) }
    :: atomic { withdraw[t] -> withdraw[t] = false }
    :: atomic { message[t] -> message[t] = false; ran[t] = true; runs++; assert(runs <= 1) }
    :: atomic { message[t] -> message[t] = false }
    od
}

/* Retention resets the state derived from the log, once. */
proctype Retention() {
    atomic { reset = true; owner = NONE; outcome = 0 }
}

/* A verdict must be true when it is sent and remain true, so it is checked at any
   moment. */
proctype Judge() {
    byte t = 0;
    do
    :: t < T ->
        assert(!(sentVerdict[t] == NOTRUN && ran[t]));
        assert(!(sentVerdict[t] == RAN && runs == 0));
        t++
    :: t == T -> t = 0
    od
}

init {
    byte t = 0;
    atomic {
        do
        :: t < T -> run Attempt(t); run Network(t); t++
        :: else -> break
        od;
        run Judge();
        run Retention()
    }
}
