/** Tests of the HTTP adapter against raw sockets that send faulty responses. */
@NullMarked
package org.limpetring.engine.http;

import org.jspecify.annotations.NullMarked;
