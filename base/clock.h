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
 * struct seam_clock_ops - behaviour of a clock
 * @now: the current time
 * @wait: wait on @c with @m held until it is signalled or @deadline passes;
 *        returns false when the deadline passed
 */
struct seam_clock_ops {
	seam_time (*now)(struct seam_clock *k);
	bool (*wait)(struct seam_clock *k, pthread_cond_t *c,
		     pthread_mutex_t *m, seam_time deadline);
};

/** struct seam_clock - a clock; the vtable is the first member */
struct seam_clock {
	const struct seam_clock_ops *ops;
};

/**
 * seam_clock_real() - the system's clock
 *
 * Conditions that are waited on through it must be made by seam_cond_init(),
 * which selects the monotonic clock, so that a step of the wall clock does not
 * stretch a wait.
 */
struct seam_clock *seam_clock_real(void);

/**
 * seam_clock_boot() - time since the start of the machine
 *
 * Counts the time for which the machine is suspended and does not follow steps
 * of the wall clock, so leases are measured with it. Its times mean nothing on
 * another machine.
 */
struct seam_clock *seam_clock_boot(void);

/** seam_wall_ms() - time of day, milliseconds since 1970; it may jump */
int64_t seam_wall_ms(void);

/** seam_cond_init() - condition variable for seam_wait() */
void seam_cond_init(pthread_cond_t *c);

/**
 * struct seam_fake_clock - a clock that a test sets
 * @clock: the vtable; pass &fake.clock to code under test
 * @time: the current time; change it through seam_fake_set()
 */
struct seam_fake_clock {
	struct seam_clock clock;
	seam_time time;
};

/** seam_fake_init() - a fake clock that shows @start */
void seam_fake_init(struct seam_fake_clock *f, seam_time start);

/** seam_fake_set() - set the fake clock to @t */
void seam_fake_set(struct seam_fake_clock *f, seam_time t);

static inline seam_time seam_now(struct seam_clock *k)
{
	return k->ops->now(k);
}

static inline bool seam_wait(struct seam_clock *k, pthread_cond_t *c,
			     pthread_mutex_t *m, seam_time deadline)
{
	return k->ops->wait(k, c, m, deadline);
}

#ifdef __cplusplus
}
#endif
#endif
