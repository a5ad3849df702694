/**
 * @file status.h
 * Status codes with a per-thread error message.
 *
 * Functions that can fail return an `enum iv_status` and store a human-readable message, which
 * iv_last_message() returns until the next failure on the same thread.
 */
#ifndef IV_STATUS_H
#define IV_STATUS_H

/** Result of a call. The values and names are stable, because they are written to logs. */
enum iv_status
{
  IV_OK = 0,          /**< success */
  IV_ERR_INVALID,     /**< the input is malformed or out of range */
  IV_ERR_NOT_FOUND,   /**< the named object does not exist */
  IV_ERR_CONFLICT,    /**< a concurrent writer committed first */
  IV_ERR_LIMIT,       /**< a size or count limit was exceeded */
  IV_ERR_UNAVAILABLE, /**< the peer cannot be reached or refused the request */
  IV_ERR_TIMEOUT,     /**< the deadline passed */
  IV_ERR_STALE,       /**< the term, token or last log confirmation is too old */
  IV_ERR_INTERNAL     /**< a library call failed unexpectedly */
};

/** Store @a message (a printf format, truncated to 255 bytes) for iv_last_message() and return
 *  @a code. */
enum iv_status iv_fail (enum iv_status code, const char *message, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Message of the last failure on this thread, "" if there was none. */
const char *iv_last_message (void);

/** Lower-case name of @a code, such as "not_found"; "unknown" if out of range. */
const char *iv_status_name (enum iv_status code);

#endif
