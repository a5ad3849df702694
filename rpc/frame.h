/**
 * @file frame.h
 * ONC RPC record marking (RFC 5531, section 11): fragments of a byte stream joined to records.
 */
#ifndef IV_FRAME_H
#define IV_FRAME_H

#include "status.h"

#include <glib.h>

#define IV_FRAME_HEADER_BYTES 4
#define IV_FRAME_LAST_FRAGMENT 0x80000000u

/** Joins fragments; one for each connection. */
struct iv_frame_reader
{
  GByteArray *input;  /**< bytes not yet consumed */
  GByteArray *record; /**< fragments of the present record */
  gsize limit;        /**< of a record in bytes */
};

/** Receives one whole record; FALSE stops the reading. */
typedef gboolean (*iv_frame_record_fn) (void *context, const guint8 *bytes, gsize len);

/** Prepare a reader of records of at most @a limit bytes. */
void iv_frame_reader_init (struct iv_frame_reader *reader, gsize limit);

/** Free the reader's memory. */
void iv_frame_reader_clear (struct iv_frame_reader *reader);

/** Take bytes from the stream and pass on each record that becomes whole. Fails when a record
 *  exceeds the limit or an empty fragment is not the last one; the connection is then of no use. */
enum iv_status iv_frame_reader_push (struct iv_frame_reader *reader, const void *bytes, gsize len,
                                     iv_frame_record_fn on_record, void *context);

/** Put a header for one whole record of @a len bytes at @a header. */
void iv_frame_write_header (guint8 header[IV_FRAME_HEADER_BYTES], guint32 len);

#endif
