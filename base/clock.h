#ifndef SEAM_CLOCK_H
#define SEAM_CLOCK_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** typedef seam_time - a point in time, microseconds since the clock's epoch */
typedef int64_t seam_time;

#define SEAM_USEC 1
#define SEAM_MSEC 1000
#define SEAM_SEC 1000000
#define SEAM_NEVER INT64_MAX

struct seam_clock;

/**
 * struct seam_clock_ops - operations of a clock
 * @now: the current time
 * @wait: waits on @cond with @mutex held until it is signalled or @deadline
 *        passes; returns false if the deadline passed
 */
struct seam_clock_ops {
	seam_time (*now)(struct seam_clock *clock);
	bool (*wait)(struct seam_clock *clock, pthread_cond_t *cond,
		     pthread_mutex_t *mutex, seam_time deadline);
};

/** struct seam_clock - base of all clocks; the vtable is the first member */
struct seam_clock {
	const struct seam_clock_ops *ops;
};

/**
 * seam_clock_real() - the wall clock of the system
 *
 * Condition variables that are waited on with it must be initialised by
 * seam_cond_init(), which selects the monotonic clock, so that a step of the
 * wall clock does not lengthen a wait.
 */
struct seam_clock *seam_clock_real(void);

/**
 * seam_clock_boot() - time since the machine was booted
 *
 * Includes the time for which the machine was suspended and does not follow
 * steps of the wall clock, so leases are measured with it. Its values are not
 * comparable between machines.
 */
struct seam_clock *seam_clock_boot(void);

/** seam_wall_ms() - wall clock time in ms since 1970; it can be stepped */
int64_t seam_wall_ms(void);

/** seam_cond_init() - initialise a condition variable for seam_wait() */
void seam_cond_init(pthread_cond_t *cond);

/**
 * struct seam_fake_clock - a clock that is set by a test
 * @clock: base; pass &fake.clock to code under test
 * @time: the current time; changed by seam_fake_clock_set() only
 */
struct seam_fake_clock {
	struct seam_clock clock;
	seam_time time;
};

/** seam_fake_clock_init() - initialise a fake clock to @start */
void seam_fake_clock_init(struct seam_fake_clock *f, seam_time start);

/** seam_fake_clock_set() - set the fake clock to @t */
void seam_fake_clock_set(struct seam_fake_clock *f, seam_time t);

static inline seam_time seam_now(struct seam_clock *clock)
{
	return clock->ops->now(clock);
}

static inline bool seam_wait(struct seam_clock *clock, pthread_cond_t *cond,
			     pthread_mutex_t *mutex, seam_time deadline)
{
	return clock->ops->wait(clock, cond, mutex, deadline);
}

#ifdef __cplusplus
}
#endif
#endif
