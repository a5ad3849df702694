/**
 * @file status.h
 * Status codes with a last message.
 *
 * Functions that can fail return an `enum iv_status` and leave a readable message that
 * iv_last_message() returns until the next failure on the same thread.
 */
#ifndef IV_STATUS_H
#define IV_STATUS_H

/** Outcome of a call. The values are stable: they are also written to logs. */
enum iv_status
{
  IV_OK = 0,          /**< done */
  IV_ERR_INVALID,     /**< the input is malformed or out of range */
  IV_ERR_NOT_FOUND,   /**< the named object does not exist */
  IV_ERR_CONFLICT,    /**< another writer was first */
  IV_ERR_LIMIT,       /**< a configured bound was reached */
  IV_ERR_UNAVAILABLE, /**< the other side cannot be reached or refuses */
  IV_ERR_TIMEOUT,     /**< the deadline passed */
  IV_ERR_STALE,       /**< the term, token or evidence is too old */
  IV_ERR_INTERNAL     /**< a library call failed unexpectedly */
};

/** Record @a message (printf format) as the last message and return @a code. */
enum iv_status iv_fail (enum iv_status code, const char *message, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Message of the last failure on this thread; never NULL. */
const char *iv_last_message (void);

/** Stable lower-case name of @a code, such as "not_found". */
const char *iv_status_name (enum iv_status code);

#endif
