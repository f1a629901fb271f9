/* Two operators, a platform that can lose answers and come back from an old copy, two processes that also hear from each other.
 *
 * Checked: of one version there is one bundle, an operator is told "accepted" only if it was, and no process goes back.
 * Guards that can be taken out:
 *   -DNO_CONDITION       the accepting write overwrites
 *   -DNO_VERSION_CHECK   a process takes whatever it is offered last
 *   -DASSUME_FAILED      an operator whose answer was lost reports a conflict
 */
#define NONE 0

byte version = 1; /* what the platform's object says */
byte bundle = 10;
byte acceptedOf[4]; /* the bundle that was accepted under each version */
byte held[2];
byte heldBundle[2];
byte told[2]; /* what each operator was told: 1 accepted, 2 another won */
byte isAccepted[2];

proctype Operator(byte me)
{
    byte base;
    byte tries = 0;
    bool hasAnswer;
    byte stands;
    byte mine = 20 + me;

    atomic { base = version };
again:
    atomic {
        hasAnswer = false;
        if
        :: skip /* never arrived */
        ::
#ifdef NO_CONDITION
            version = base + 1; bundle = mine; isAccepted[me] = 1; hasAnswer = true;
            assert(acceptedOf[version] == NONE || acceptedOf[version] == mine);
            acceptedOf[version] = mine;
#else
            if
            :: version == base ->
                version = base + 1; bundle = mine; isAccepted[me] = 1;
                assert(acceptedOf[version] == NONE);
                acceptedOf[version] = mine; hasAnswer = true
            :: else -> hasAnswer = true
            fi;
#endif
            if
            :: skip
            :: hasAnswer = false
            fi
        fi
    };
    tries++;
    if
    :: hasAnswer -> stands = bundle; told[me] = (stands == mine -> 1 : 2)
    :: !hasAnswer ->
#ifdef ASSUME_FAILED
        told[me] = 2
#else
        stands = bundle;
        if
        :: stands == mine -> told[me] = 1
        :: stands != mine && version != base -> told[me] = 2
        :: stands != mine && version == base && tries < 3 -> goto again
        :: stands != mine && version == base && tries >= 3 -> skip /* told that the outcome is not known */
        fi
#endif
    fi;
    assert(!(told[me] == 1 && !isAccepted[me]));
    assert(!(told[me] == 2 && isAccepted[me] && bundle == mine))
}

inline offer(me, v, b)
{
    atomic {
#ifdef NO_VERSION_CHECK
        if
        :: true ->
#else
        if
        :: v > held[me] ->
#endif
            assert(v >= held[me]);
            held[me] = v; heldBundle[me] = b
        :: else
        fi
    }
}

proctype Process(byte me)
{
    byte rounds = 0;
    do
    :: rounds < 3 ->
        rounds++;
        if
        :: true -> offer(me, version, bundle)
        :: true -> offer(me, 1, 10) /* the platform came back from an old copy, or a peer is behind */
        :: true -> offer(me, held[1 - me], heldBundle[1 - me])
        fi
    :: else -> break
    od
}

init {
    acceptedOf[1] = 10;
    held[0] = 1; held[1] = 1;
    heldBundle[0] = 10; heldBundle[1] = 10;
    atomic { run Operator(0); run Operator(1); run Process(0); run Process(1) }
}
