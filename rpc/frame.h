/**
 * @file frame.h
 * ONC RPC record marking (RFC 5531, section 11): reassembles records from the fragments of a byte
 * stream.
 */
#ifndef IV_FRAME_H
#define IV_FRAME_H

#include "status.h"

#include <glib.h>

#define IV_FRAME_HEADER_BYTES 4
#define IV_FRAME_LAST_FRAGMENT 0x80000000u /**< header bit: the fragment ends its record */

/** Reassembles the records of one connection. */
struct iv_frame_reader
{
  GByteArray *input;  /**< bytes not yet consumed */
  GByteArray *record; /**< fragments of the current record */
  gsize limit;        /**< maximum size of a record in bytes */
};

/** Receives one complete record, which is valid during the call only. Returns FALSE to stop
 * reading. */
typedef gboolean (*iv_frame_record_fn) (void *context, const guint8 *bytes, gsize len);

/** Initialize a reader of records of at most @a limit bytes. */
void iv_frame_reader_init (struct iv_frame_reader *reader, gsize limit);

/** Free the content of @a reader. */
void iv_frame_reader_clear (struct iv_frame_reader *reader);

/** Add @a len bytes of the stream and pass each record that they complete to @a on_record. Fails
 * with IV_ERR_LIMIT when a record exceeds the limit, and with IV_ERR_INVALID when an empty fragment
 * is not the last one of its record; the connection must then be closed. */
enum iv_status iv_frame_reader_push (struct iv_frame_reader *reader, const void *bytes, gsize len,
                                     iv_frame_record_fn on_record, void *context);

/** Write the header of a record of @a len bytes in a single fragment to @a header. */
void iv_frame_write_header (guint8 header[IV_FRAME_HEADER_BYTES], guint32 len);

#endif
