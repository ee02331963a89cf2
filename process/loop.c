#include "process/node.h"

static void *run(void *arg)
{
	struct seam_loop *l = arg;
	seam_time next;

	pthread_mutex_lock(&l->lock);
	while (!l->stop) {
		l->woken = false;
		pthread_mutex_unlock(&l->lock);
		next = l->pass(l->arg, seam_now(l->clock));
		pthread_mutex_lock(&l->lock);
		while (!l->stop && !l->woken && seam_now(l->clock) < next)
			seam_wait(l->clock, &l->wake, &l->lock, next);
	}
	pthread_mutex_unlock(&l->lock);
	return NULL;
}

int seam_loop_start(struct seam_loop *l, struct seam_clock *k,
		    seam_time (*pass)(void *arg, seam_time now), void *arg,
		    struct seam_err *e)
{
	l->clock = k;
	l->pass = pass;
	l->arg = arg;
	l->stop = false;
	l->woken = false;
	pthread_mutex_init(&l->lock, NULL);
	seam_cond_init(&l->wake);
	if (pthread_create(&l->thread, NULL, run, l))
		return seam_fail(e, SEAM_NO_MEMORY, "cannot start a thread");
	return 0;
}

void seam_loop_wake(struct seam_loop *l)
{
	pthread_mutex_lock(&l->lock);
	l->woken = true;
	pthread_cond_signal(&l->wake);
	pthread_mutex_unlock(&l->lock);
}

void seam_loop_stop(struct seam_loop *l)
{
	pthread_mutex_lock(&l->lock);
	l->stop = true;
	pthread_cond_signal(&l->wake);
	pthread_mutex_unlock(&l->lock);
	pthread_join(l->thread, NULL);
	pthread_mutex_destroy(&l->lock);
	pthread_cond_destroy(&l->wake);
}
