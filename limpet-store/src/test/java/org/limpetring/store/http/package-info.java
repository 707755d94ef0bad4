/** Tests of the HTTP adapters against local servers on the loopback interface. */
@NullMarked
package org.limpetring.store.http;

import org.jspecify.annotations.NullMarked;
