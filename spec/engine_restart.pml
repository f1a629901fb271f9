/* An endpoint process that admits runs to an engine, and an engine that restarts at any time and bears less while cold.
 *
 * A connection to the engine ends with the engine process that accepted it. Each run queries the boot id on its own connection before it
 * is sent there, and is admitted again if a sign of a restart has been seen since its admission.
 *
 * Checked: the engine never has more concurrent runs than it bears.
 * Guards that can be disabled; each must then yield a counterexample:
 *   -DNO_EPOCH_CHECK     a run is sent although a restart has been seen since its admission
 *   -DOTHER_CONNECTION   the boot id is queried on another connection than the one that carries the run
 *   -DCOUNT_ALL          a success also counts towards warm-up if a restart has been seen since the run was admitted
 */
#define RUNS 3
#define RESTARTS 2
#define COLD 1
#define WARM 2

/* the engine */
byte boot = 1;
byte engineRuns;
bool isWarm;

/* the endpoint process */
byte knownBoot = 1;
byte epoch;
byte admitted;
byte limit = COLD;

inline noteRestart()
{
    epoch++;
    limit = COLD
}

inline noteBoot(id)
{
    atomic {
        if
        :: id != knownBoot -> knownBoot = id; noteRestart()
        :: else
        fi
    }
}

proctype Engine()
{
    byte restarts;
    do
    :: atomic { restarts < RESTARTS -> restarts++; boot++; engineRuns = 0; isWarm = false }
    :: break
    od
}

/* Queries the boot id now and then; a response may be processed late. */
proctype Poll()
{
    byte polls;
    byte seen;
    do
    :: polls < 2 -> polls++; seen = boot; noteBoot(seen)
    :: break
    od
}

proctype Run()
{
    byte admittedIn;
    byte connection;
    bool isValid;
    do
    :: atomic { admitted < limit -> admitted++; admittedIn = epoch }
       connection = boot;
       noteBoot(connection);
       atomic {
           isValid = (admittedIn == epoch && connection == knownBoot);
#ifdef NO_EPOCH_CHECK
           isValid = true
#endif
       }
       if
       :: !isValid -> admitted--
       :: isValid ->
#ifdef OTHER_CONNECTION
           connection = boot;
#endif
           atomic {
               if
               :: connection == boot ->
                   engineRuns++;
                   assert(engineRuns <= (isWarm -> WARM : COLD))
               :: else
               fi
           }
           /* The run ends in the engine, or with it. */
           atomic {
               if
               :: connection == boot -> engineRuns--; isWarm = true; isValid = true
               :: else -> isValid = false
               fi
           }
           atomic {
               admitted--;
               if
               :: !isValid -> noteRestart()
#ifdef COUNT_ALL
               :: isValid -> limit = WARM
#else
               :: isValid && admittedIn == epoch -> limit = WARM
               :: isValid && admittedIn != epoch
#endif
               fi
           }
           break
       fi
    od
}

init
{
    byte i;
    atomic {
        run Engine();
        run Poll();
        i = 0;
        do
        :: i < RUNS -> run Run(); i++
        :: i == RUNS -> break
        od
    }
}
