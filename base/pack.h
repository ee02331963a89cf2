#ifndef SEAM_PACK_H
#define SEAM_PACK_H

#include <mpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct seam_packer - writes a message in MessagePack
 * @data: the message so far
 * @len: its length in bytes
 * @cap: bytes allocated
 * @tokens: state of libmpack
 * @failed: out of memory
 */
struct seam_packer {
	char *data;
	size_t len;
	size_t cap;
	mpack_tokbuf_t tokens;
	bool failed;
};

/** seam_pack_init() - start an empty message */
void seam_pack_init(struct seam_packer *p);

/** seam_pack_array() - an array; its @n elements follow */
void seam_pack_array(struct seam_packer *p, size_t n);

/** seam_pack_map() - a map; its @n pairs of a name and a value follow */
void seam_pack_map(struct seam_packer *p, size_t n);

void seam_pack_int(struct seam_packer *p, int64_t v);
void seam_pack_uint(struct seam_packer *p, uint64_t v);

/** seam_pack_str() - a string without its NUL */
void seam_pack_str(struct seam_packer *p, const char *s);

/** seam_pack_text() - a string of @n bytes, which may contain NUL bytes */
void seam_pack_text(struct seam_packer *p, const char *s, size_t n);

/**
 * seam_pack_finish() - end the message
 * @len: receives its length in bytes
 *
 * Return: the message, to be freed with free(); NULL if out of memory.
 */
char *seam_pack_finish(struct seam_packer *p, size_t *len);

/**
 * struct seam_unpacker - reads a message in MessagePack
 * @pos: the unread rest
 * @left: its length in bytes
 * @tokens: state of libmpack
 * @malformed: something else was read than expected
 *
 * After an error all functions return 0 or an empty string, so that a reader
 * checks @malformed once for a row.
 */
struct seam_unpacker {
	const char *pos;
	size_t left;
	mpack_tokbuf_t tokens;
	bool malformed;
};

/** seam_unpack_init() - start to read @len bytes, which stay in place */
void seam_unpack_init(struct seam_unpacker *u, const char *data, size_t len);

/**
 * seam_unpack_array() - number of elements of an array
 *
 * An array that cannot be complete, as less than one byte is left for each
 * element, is malformed.
 */
size_t seam_unpack_array(struct seam_unpacker *u);

/** seam_unpack_map() - number of pairs of a map, checked in the same way */
size_t seam_unpack_map(struct seam_unpacker *u);

int64_t seam_unpack_int(struct seam_unpacker *u);
uint64_t seam_unpack_uint(struct seam_unpacker *u);

/**
 * seam_unpack_str() - copy a string
 *
 * A string with a NUL, or one that does not fit @size bytes, is malformed.
 */
void seam_unpack_str(struct seam_unpacker *u, char *out, size_t size);

/** seam_unpack_strdup() - copy of a string, to be freed with free(), or NULL */
char *seam_unpack_strdup(struct seam_unpacker *u);

/**
 * seam_unpack_text() - copy of a string that may contain NUL bytes
 * @len: receives its length in bytes; a NUL follows them
 *
 * Return: the copy, to be freed with free(), or NULL.
 */
char *seam_unpack_text(struct seam_unpacker *u, size_t *len);

/** seam_unpack_done() - whether the whole message was read without an error */
bool seam_unpack_done(const struct seam_unpacker *u);

#ifdef __cplusplus
}
#endif
#endif
