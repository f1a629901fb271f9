/* Two operators, a platform that can lose requests and responses and be restored from an old backup, and two processes that also
 * receive bundles from each other.
 *
 * Checked: each version has one bundle, an operator is told "accepted" only if its bundle was, and no process reverts to an older version.
 * Guards that can be disabled; each must then yield a counterexample:
 *   -DNO_CONDITION       the write of the operator is unconditional
 *   -DNO_VERSION_CHECK   a process applies any bundle that it receives
 *   -DASSUME_FAILED      an operator that got no response reports a conflict
 */
#define NONE 0

byte platformVersion = 1; /* version of the object in the platform store */
byte platformBundle = 10;
byte acceptedOf[4]; /* accepted bundle of each version */
byte heldVersion[2];
byte heldBundle[2];
byte reportedOutcome[2]; /* reported to each operator: 1 accepted, 2 conflict */
byte isAccepted[2];

proctype Operator(byte id)
{
    byte baseVersion;
    byte tries = 0;
    bool hasResponse;
    byte readBundle;
    byte ownBundle = 20 + id;

    atomic { baseVersion = platformVersion };
again:
    atomic {
        hasResponse = false;
        if
        :: skip /* the request is lost */
        ::
#ifdef NO_CONDITION
            platformVersion = baseVersion + 1; platformBundle = ownBundle; isAccepted[id] = 1; hasResponse = true;
            assert(acceptedOf[platformVersion] == NONE || acceptedOf[platformVersion] == ownBundle);
            acceptedOf[platformVersion] = ownBundle;
#else
            if
            :: platformVersion == baseVersion ->
                platformVersion = baseVersion + 1; platformBundle = ownBundle; isAccepted[id] = 1;
                assert(acceptedOf[platformVersion] == NONE);
                acceptedOf[platformVersion] = ownBundle; hasResponse = true
            :: else -> hasResponse = true
            fi;
#endif
            if
            :: skip
            :: hasResponse = false
            fi
        fi
    };
    tries++;
    if
    :: hasResponse -> readBundle = platformBundle; reportedOutcome[id] = (readBundle == ownBundle -> 1 : 2)
    :: !hasResponse ->
#ifdef ASSUME_FAILED
        reportedOutcome[id] = 2
#else
        readBundle = platformBundle;
        if
        :: readBundle == ownBundle -> reportedOutcome[id] = 1
        :: readBundle != ownBundle && platformVersion != baseVersion -> reportedOutcome[id] = 2
        :: readBundle != ownBundle && platformVersion == baseVersion && tries < 3 -> goto again
        :: readBundle != ownBundle && platformVersion == baseVersion && tries >= 3 -> skip /* reported as an unknown outcome */
        fi
#endif
    fi;
    assert(!(reportedOutcome[id] == 1 && !isAccepted[id]));
    assert(!(reportedOutcome[id] == 2 && isAccepted[id] && platformBundle == ownBundle))
}

inline receiveBundle(id, newVersion, newBundle)
{
    atomic {
#ifdef NO_VERSION_CHECK
        if
        :: true ->
#else
        if
        :: newVersion > heldVersion[id] ->
#endif
            assert(newVersion >= heldVersion[id]);
            heldVersion[id] = newVersion; heldBundle[id] = newBundle
        :: else
        fi
    }
}

proctype Process(byte id)
{
    byte rounds = 0;
    do
    :: rounds < 3 ->
        rounds++;
        if
        :: true -> receiveBundle(id, platformVersion, platformBundle)
        :: true -> receiveBundle(id, 1, 10) /* the platform was restored from an old backup, or a peer has an old version */
        :: true -> receiveBundle(id, heldVersion[1 - id], heldBundle[1 - id])
        fi
    :: else -> break
    od
}

init {
    acceptedOf[1] = 10;
    heldVersion[0] = 1; heldVersion[1] = 1;
    heldBundle[0] = 10; heldBundle[1] = 10;
    atomic { run Operator(0); run Operator(1); run Process(0); run Process(1) }
}
