#include "base/clock.h"

#include <time.h>

static seam_time read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (seam_time)ts.tv_sec * SEAM_SEC + ts.tv_nsec / 1000;
}

static seam_time real_now(struct seam_clock *clock)
{
	(void)clock;
	return read_clock(CLOCK_REALTIME);
}

static seam_time boot_now(struct seam_clock *clock)
{
	(void)clock;
	return read_clock(CLOCK_BOOTTIME);
}

static bool real_wait(struct seam_clock *clock, pthread_cond_t *cond,
		      pthread_mutex_t *mutex, seam_time deadline)
{
	struct timespec ts;
	seam_time monotonic;

	if (deadline == SEAM_NEVER) {
		pthread_cond_wait(cond, mutex);
		return true;
	}
	monotonic = read_clock(CLOCK_MONOTONIC) + deadline - seam_now(clock);
	if (monotonic < 0)
		monotonic = 0;
	ts.tv_sec = monotonic / SEAM_SEC;
	ts.tv_nsec = monotonic % SEAM_SEC * 1000;
	return pthread_cond_timedwait(cond, mutex, &ts) == 0;
}

static const struct seam_clock_ops real_ops = {
	.now = real_now,
	.wait = real_wait,
};

struct seam_clock *seam_clock_real(void)
{
	static struct seam_clock real = {&real_ops};

	return &real;
}

static const struct seam_clock_ops boot_ops = {
	.now = boot_now,
	.wait = real_wait,
};

struct seam_clock *seam_clock_boot(void)
{
	static struct seam_clock boot = {&boot_ops};

	return &boot;
}

int64_t seam_wall_ms(void)
{
	return read_clock(CLOCK_REALTIME) / SEAM_MSEC;
}

void seam_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

static seam_time fake_now(struct seam_clock *clock)
{
	struct seam_fake_clock *f = (struct seam_fake_clock *)clock;

	return __atomic_load_n(&f->time, __ATOMIC_ACQUIRE);
}

/*
 * Advances the fake clock to the deadline instead of waiting: programs that use
 * it have a single thread, so nothing else could signal the condition.
 */
static bool fake_wait(struct seam_clock *clock, pthread_cond_t *cond,
		      pthread_mutex_t *mutex, seam_time deadline)
{
	struct seam_fake_clock *f = (struct seam_fake_clock *)clock;

	(void)cond;
	(void)mutex;
	if (deadline != SEAM_NEVER && deadline > f->time)
		seam_fake_clock_set(f, deadline);
	return false;
}

static const struct seam_clock_ops fake_ops = {
	.now = fake_now,
	.wait = fake_wait,
};

void seam_fake_clock_init(struct seam_fake_clock *f, seam_time start)
{
	f->clock.ops = &fake_ops;
	f->time = start;
}

void seam_fake_clock_set(struct seam_fake_clock *f, seam_time t)
{
	__atomic_store_n(&f->time, t, __ATOMIC_RELEASE);
}
