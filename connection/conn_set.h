#ifndef SEAM_CONN_SET_H
#define SEAM_CONN_SET_H

#include "base/clock.h"
#include "base/table.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_conn_set - open connections of a server
 *
 * A server has a thread for each connection and a limit of connections.
 * Connections that wait for a request are closed before the limit is reached,
 * the longest idle one first, so that they do not keep new callers out. Safe to
 * use from several threads.
 */
struct seam_conn_set;

/**
 * seam_conn_set_new() - create an empty set
 * @k: clock
 * @max: limit of connections
 */
struct seam_conn_set *seam_conn_set_new(struct seam_clock *k, unsigned max);

/** seam_conn_set_free() - free the set; it has to be empty */
void seam_conn_set_free(struct seam_conn_set *s);

/**
 * seam_conn_set_add() - add a connection that has no request yet
 * @s: set
 * @fd: its socket, open until seam_conn_set_remove()
 *
 * If the limit is near, here and at the end of a request, the input of the
 * connection that has been idle for the longest time is shut down. Requests
 * that have arrived on it are still answered.
 *
 * Return: handle of the connection, or SEAM_HANDLE_NONE if out of memory.
 */
struct seam_handle seam_conn_set_add(struct seam_conn_set *s, int fd);

/** seam_conn_set_busy() - a request has begun on connection @h, or has ended */
void seam_conn_set_busy(struct seam_conn_set *s, struct seam_handle h,
			bool busy);

/** seam_conn_set_remove() - remove a connection before its socket is closed */
void seam_conn_set_remove(struct seam_conn_set *s, struct seam_handle h);

#ifdef __cplusplus
}
#endif
#endif
